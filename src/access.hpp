// Who may do what: tokens with a role and a team, and the rules that follow from these.
#pragma once

#include "fulmar/http.hpp"
#include "fulmar/types.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

enum class access_role : std::uint8_t { viewer, operator_role, team_member };

// Who makes a request. Only a team member has a team.
struct principal {
    std::string name;
    access_role role = access_role::viewer;
    team_id team;
};

struct access_token {
    std::string secret;
    principal owner;
};

// Parses a tokens file: one token a line as "secret role name [team]", where the role is viewer,
// operator or team, and name and team are restricted as names of resources are; "#" starts a
// comment. A line with only a secret is an operator's. Returns invalid_argument that names the line
// but never its content.
result<std::vector<access_token>> parse_access_tokens(std::string_view text);

// Finds the principal of a request's bearer token. Every token is compared in full, so that the
// time tells nothing of the secrets. Returns unauthenticated.
result<principal> authenticate(const std::vector<access_token>& tokens,
                               const std::vector<http_header>& headers);

// Tells whether a principal may see what belongs to a team; empty for what belongs to none.
bool may_see(const principal& who, const team_id& team);

// Returns forbidden unless the principal may change what belongs to the team; empty for what
// belongs to the installation as a whole.
result<void> check_may_change(const principal& who, const team_id& team);

} // namespace fulmar
