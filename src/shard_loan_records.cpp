// What stored records say about loans.
#include "shard_internal.hpp"

#include <algorithm>

namespace fulmar {

void rebuild_loan_table(shard_state& shard) {
    for (auto& [id, job] : shard.tables.jobs) {
        for (const auto& [number, to] : job.loans) {
            auto& loan = shard.tables.loans[number];
            loan.number = number;
            loan.to = to;
            loan.job = id;
            loan.withdrawn = has_ended(job.phase);
        }
        for (const auto& [occurrence, row] : job.occurrences) {
            for (const auto& stage : row.stages) {
                for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
                    const auto loan = shard.tables.loans.find(stage.tasks[index].loan);
                    if (is_borrowed(job) || loan == shard.tables.loans.end()) {
                        continue;
                    }
                    loan->second.occurrence = occurrence;
                    loan->second.step = stage.step;
                    loan->second.tasks.insert(index);
                }
            }
        }
    }
}

bool is_new_offer(const shard_state& shard, const json& body) {
    if (body.at("kind") != "offer") {
        return false;
    }
    const auto job = shard.tables.jobs.find(body.at("job").get<job_id>());
    const auto number = body.at("loan").get<std::uint64_t>();
    return job == shard.tables.jobs.end() ||
           std::none_of(job->second.borrowed.begin(), job->second.borrowed.end(),
                        [&](const borrowed_tasks& row) { return row.loan == number; });
}

bool record_includes_loan(const json& body, std::string_view lender_progress) {
    const auto progress = json::parse(lender_progress, nullptr, false);
    if (!progress.is_object() || has_ended(static_cast<job_phase>(progress.value("phase", 0)))) {
        return false;
    }
    const auto loans = progress.value("loans", json::array());
    return std::any_of(loans.begin(), loans.end(), [&](const json& row) {
        return row.at(0) == body.at("loan") && row.at(1) == body.at("to");
    });
}

} // namespace fulmar
