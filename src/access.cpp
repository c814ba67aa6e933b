#include "access.hpp"

#include "resource_fields.hpp"

#include <array>
#include <sstream>

namespace fulmar {

namespace {

struct role_row {
    std::string_view name;
    access_role role;
    std::size_t word_count; // on a line with this role
};

constexpr std::array roles{role_row{"viewer", access_role::viewer, 3},
                           role_row{"operator", access_role::operator_role, 3},
                           role_row{"team", access_role::team_member, 4}};
static_assert(static_cast<std::size_t>(access_role::team_member) + 1 == roles.size());

std::vector<std::string> split_words(const std::string& line) {
    std::istringstream in(line.substr(0, line.find('#')));
    std::vector<std::string> words;
    for (std::string word; in >> word;) {
        words.push_back(std::move(word));
    }
    return words;
}

std::optional<access_token> parse_token(const std::vector<std::string>& words) {
    if (words.size() == 1) {
        return access_token{words[0], {"operator", access_role::operator_role, {}}};
    }
    for (const auto& row : roles) {
        if (words.size() == row.word_count && words[1] == row.name &&
            check_name("name", words[2]) && check_name("team", words.back())) {
            return access_token{
                words[0], {words[2], row.role, {row.word_count == 4 ? words[3] : std::string()}}};
        }
    }
    return std::nullopt;
}

// Compares a client's token with a secret. The time depends only on the length of the client's
// token, so that it reveals nothing about the secret.
bool equal_in_constant_time(std::string_view presented, std::string_view secret) {
    unsigned difference = presented.size() == secret.size() ? 0 : 1;
    for (std::size_t i = 0; i < presented.size(); ++i) {
        const char expected = secret.empty() ? '\0' : secret[i % secret.size()];
        difference |=
            static_cast<unsigned char>(presented[i]) ^ static_cast<unsigned char>(expected);
    }
    return difference == 0 && !secret.empty();
}

} // namespace

result<std::vector<access_token>> parse_access_tokens(std::string_view text) {
    std::vector<access_token> tokens;
    std::istringstream in{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        const auto words = split_words(line);
        if (words.empty()) {
            continue;
        }
        auto token = parse_token(words);
        if (!token) {
            return error{error_kind::invalid_argument,
                         "line " + std::to_string(number) +
                             ": expected \"secret role name [team]\""};
        }
        tokens.push_back(std::move(*token));
    }
    if (tokens.empty()) {
        return error{error_kind::invalid_argument, "no token"};
    }
    return tokens;
}

result<principal> authenticate(const std::vector<access_token>& tokens,
                               const std::vector<http_header>& headers) {
    constexpr std::string_view scheme = "Bearer ";
    const auto header = find_header(headers, "Authorization");
    const std::string_view presented = header && header->starts_with(scheme)
                                           ? std::string_view(*header).substr(scheme.size())
                                           : std::string_view();
    const access_token* found = nullptr;
    for (const auto& token : tokens) {
        found = equal_in_constant_time(presented, token.secret) ? &token : found;
    }
    if (found == nullptr) {
        return error{error_kind::unauthenticated, "missing or wrong token"};
    }
    return found->owner;
}

bool may_see(const principal& requester, const team_id& team) {
    return requester.role != access_role::team_member || team.value.empty() ||
           team == requester.team;
}

result<void> check_may_change(const principal& requester, const team_id& team) {
    if (requester.role == access_role::operator_role ||
        (requester.role == access_role::team_member && !team.value.empty() &&
         team == requester.team)) {
        return outcome::success();
    }
    return error{error_kind::forbidden, requester.name + " may not change this"};
}

} // namespace fulmar
