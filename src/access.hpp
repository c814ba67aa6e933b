// Access control: tokens with a role and a team, and the permissions of each role.
#pragma once

#include "fulmar/http.hpp"
#include "fulmar/types.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

enum class access_role : std::uint8_t { viewer, operator_role, team_member };

// The authenticated sender of a request. Only a team member has a team.
struct principal {
    std::string name;
    access_role role = access_role::viewer;
    team_id team;
};

struct access_token {
    std::string secret;
    principal owner;
};

// Parses a tokens file with one token per line as "secret role name [team]". The role is viewer,
// operator or team; name and team follow the rules of check_name; "#" starts a comment. A line with
// only a secret gives the role operator. Returns invalid_argument with the line number but never
// the line's content.
result<std::vector<access_token>> parse_access_tokens(std::string_view text);

// Returns the principal of a request's bearer token. Every token is compared in full, so that the
// response time reveals nothing about the secrets. Returns unauthenticated if no token matches.
result<principal> authenticate(const std::vector<access_token>& tokens,
                               const std::vector<http_header>& headers);

// Returns whether a principal may see resources of a team. An empty team stands for resources that
// belong to no team.
bool may_see(const principal& requester, const team_id& team);

// Returns forbidden unless the principal may change resources of the team. An empty team stands for
// resources of the installation as a whole.
result<void> check_may_change(const principal& requester, const team_id& team);

} // namespace fulmar
