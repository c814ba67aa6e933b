// What stored records say about loans.
#include "shard_internal.hpp"

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

} // namespace fulmar
