#include "shard_records.hpp"

#include "bounded_json.hpp"
#include "shard_run_numbers.hpp"
#include "shard_run_records.hpp"

#include <algorithm>
#include <charconv>

namespace fulmar {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

// Formats which tasks are done as hexadecimal digits, one bit per task. The highest bit of the
// first digit is the task with index 0. "*" means that all are done.
std::string encode_done(const stage_row& stage) {
    if (stage.done == stage.tasks.size()) {
        return "*";
    }
    std::string text;
    for (std::size_t first = 0; first < stage.tasks.size(); first += 4) {
        unsigned digit = 0;
        for (std::size_t bit = 0; bit < 4; ++bit) {
            const auto index = first + bit;
            digit = digit * 2 + (index < stage.tasks.size() && stage.tasks[index].done ? 1 : 0);
        }
        text += hex_digits[digit];
    }
    return text;
}

void decode_done(stage_row& stage, std::string_view text) {
    for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
        bool done = text == "*";
        if (!done && index / 4 < text.size()) {
            const auto digit = hex_digits.find(text[index / 4]);
            done = digit != std::string_view::npos && ((digit >> (3 - index % 4)) & 1U) != 0;
        }
        if (done) {
            stage.tasks[index].done = true;
            stage.waiting.erase(index);
            ++stage.done;
        }
    }
}

// Formats what a successor needs to know about the tasks that aren't done.
json encode_tasks(const stage_row& stage) {
    json rows = json::array();
    for (std::uint32_t index = 0; index < stage.tasks.size(); ++index) {
        const auto& task = stage.tasks[index];
        const bool blank = task.failed_runs.empty() && task.last_run.value == 0 &&
                           task.checkpoint.empty() && task.loan == 0 && !task.parked;
        if (task.done || blank) {
            continue;
        }
        rows.push_back({index, task.failed_runs, task.last_run.value, task.checkpoint, task.loan});
        append_parking(rows.back(), task);
    }
    return rows;
}

// Formats the borrowed tasks of a job, with what a successor needs to know about each of them.
json encode_borrowed(const job_row& job) {
    json rows = json::array();
    for (const auto& loan : job.borrowed) {
        const auto& stage = job.occurrences.at(loan.occurrence).stages.at(loan.step);
        json tasks = json::array();
        for (const auto index : loan.tasks) {
            const auto& task = stage.tasks[index];
            tasks.push_back({index, static_cast<int>(task.result), task.failed_runs,
                             task.last_run.value, task.checkpoint});
            append_parking(tasks.back(), task);
        }
        rows.push_back({loan.loan, loan.occurrence, loan.step, loan.withdrawn, std::move(tasks)});
    }
    return rows;
}

// Restores the borrowed tasks of a job.
void decode_borrowed(job_row& job, const json& rows) {
    for (const auto& row : rows) {
        borrowed_tasks loan;
        loan.loan = row.at(0).get<std::uint64_t>();
        loan.occurrence = row.at(1).get<std::uint32_t>();
        loan.step = row.at(2).get<std::uint32_t>();
        loan.withdrawn = row.at(3).get<bool>();
        auto& stage = find_borrowed_stage(job, loan.occurrence, loan.step);
        for (const auto& entry : row.at(4)) {
            const auto index = entry.at(0).get<std::uint32_t>();
            auto& task = stage.tasks.at(index);
            task.loan = loan.loan;
            task.result = static_cast<loan_result>(entry.at(1).get<int>());
            task.failed_runs = entry.at(2).get<std::vector<run_number>>();
            task.last_run = entry.at(3).get<run_number>();
            task.checkpoint = entry.at(4).get<std::string>();
            decode_parking(entry, task);
            task.done = task.result == loan_result::done;
            task.not_local = loan.withdrawn || task.result != loan_result::pending;
            if (!task.not_local) {
                stage.waiting.insert(index);
            }
            loan.tasks.insert(index);
        }
        job.borrowed.push_back(std::move(loan));
    }
}

json encode_term(const owner_term& term) {
    json elsewhere = json::object();
    for (const auto& [data_centre, hosts] : term.witnesses.elsewhere) {
        elsewhere[data_centre.value] = hosts;
    }
    json out{{"epoch", term.epoch},
             {"owner", term.owner},
             {"witnesses", term.witnesses.spread},
             {"local", term.witnesses.local},
             {"elsewhere", std::move(elsewhere)},
             {"rests_on", static_cast<int>(term.rests_on)},
             {"limit_ms", term.limit.count()},
             {"isolated_limit_ms", term.isolated_limit.count()},
             {"limit_from_transaction", term.limit_from_transaction}};
    if (term.leases_end_in) {
        out["leases_end_in_ms"] = term.leases_end_in->count();
    }
    return out;
}

owner_term decode_term(const json& from) {
    // Earlier versions store neither local witnesses nor limits nor an end.
    const auto limit = from.value("limit_ms", default_unconfirmed_limit.count());
    owner_term term{
        from.at("epoch").get<epoch_number>(),
        from.at("owner").get<host_id>(),
        {from.at("witnesses").get<std::set<host_id>>(), from.value("local", std::set<host_id>())},
        static_cast<owner_term::support>(from.at("rests_on").get<int>()),
        duration(limit),
        duration(from.value("isolated_limit_ms", limit)),
        from.value("limit_from_transaction", false)};
    const auto elsewhere = from.value("elsewhere", json::object());
    for (const auto& [data_centre, hosts] : elsewhere.items()) {
        term.witnesses.elsewhere[{data_centre}] = hosts.get<std::set<host_id>>();
    }
    if (from.contains("leases_end_in_ms")) {
        term.leases_end_in = duration(from.at("leases_end_in_ms").get<std::int64_t>());
    }
    return term;
}

// Formats a promise as the end of its worker's row.
void append_promise(json& row, const lease_promise& promise) {
    row.push_back(promise.by);
    row.push_back(promise.last_user);
    if (promise.leases_end_in) {
        row.push_back(promise.leases_end_in->count());
    }
}

// Reads the promise in a worker's row, if there is one.
std::optional<lease_promise> decode_promise(const json& row) {
    constexpr std::size_t begin = 3;
    constexpr std::size_t end = 5;
    if (row.size() < end) {
        return std::nullopt;
    }
    lease_promise promise{row.at(begin).get<epoch_number>(), row.at(begin + 1).get<epoch_number>()};
    if (row.size() > end) {
        promise.leases_end_in = duration(row.at(end).get<std::int64_t>());
    }
    return promise;
}

// Runs a parser that may throw, and returns a failure as an error value.
template <class Parse>
auto parse_record(std::string_view text, Parse parse) -> result<decltype(parse(json()))> {
    try {
        return parse(parse_bounded_json(text));
    } catch (const std::exception& failure) {
        return error{error_kind::protocol_error, make_printable(failure.what())};
    }
}

template <class T>
void put_unless(json& out, const char* name, const T& value, const T& blank) {
    if (!(value == blank)) {
        out[name] = value;
    }
}

void put_starts_recorded_by(json& out, const job_row& job) {
    if (std::any_of(job.spec.steps.begin(), job.spec.steps.end(), records_starts)) {
        put_unless(out, "starts_recorded_by", job.starts_recorded_by.value, std::uint64_t{0});
    }
}

} // namespace

host_id host_name_of(const host_id& incarnation) {
    return {incarnation.value.substr(0, incarnation.value.find('/'))};
}

std::string job_index_key(const job_id& job) {
    return "ids/" + job.value;
}

std::string claim_key(const shard_id& shard) {
    return std::string(claims_prefix) + shard.value;
}

std::string data_prefix(const shard_id& shard) {
    return "data/" + shard.value + "/";
}

std::string head_key(const shard_id& shard) {
    return data_prefix(shard) + "head";
}

std::string worker_list_key(const shard_id& shard) {
    return data_prefix(shard) + "workers";
}

std::string incarnations_key(const shard_id& shard) {
    return data_prefix(shard) + "incarnations";
}

std::string ownership_key(const shard_id& shard) {
    return data_prefix(shard) + "ownership";
}

std::string job_key(const shard_id& shard, const job_id& job) {
    return data_prefix(shard) + "job/" + job.value;
}

std::string progress_key(const shard_id& shard, const job_id& job) {
    return data_prefix(shard) + "progress/" + job.value;
}

std::string encode(const claim_record& record) {
    return json{{"owner", record.owner}, {"epoch", record.epoch}}.dump();
}

std::string encode(const head_record& record) {
    return json{{"epoch", record.epoch}, {"number", record.number}}.dump();
}

std::string encode(const std::vector<known_worker>& record) {
    json rows = json::array();
    for (const auto& worker : record) {
        rows.push_back({worker.target.id, to_string(worker.target.address), worker.since});
        if (worker.promise) {
            append_promise(rows.back(), *worker.promise);
        }
    }
    return rows.dump();
}

std::string encode(const ownership_record& record) {
    json earlier = json::array();
    for (const auto& term : record.earlier) {
        earlier.push_back(encode_term(term));
    }
    return json{{"current", encode_term(record.current)}, {"earlier", std::move(earlier)}}.dump();
}

std::string encode(const std::vector<shard_record>& record) {
    json rows = json::array();
    for (const auto& shard : record) {
        rows.push_back(
            {{"id", shard.id}, {"data_centre", shard.data_centre}, {"racks", shard.racks}});
    }
    return rows.dump();
}

std::string encode(const settled_incarnations& record) {
    json rows = json::array();
    for (const auto& [id, start_time] : record) {
        rows.push_back({id, start_time});
    }
    return rows.dump();
}

result<settled_incarnations> parse_incarnations(std::string_view text) {
    return parse_record(text, [](const json& in) {
        settled_incarnations found;
        for (const auto& row : in) {
            found[row.at(0).get<worker_id>()] = row.at(1).get<process_start_time>();
        }
        return found;
    });
}

result<claim_record> parse_claim(std::string_view text) {
    return parse_record(text, [](const json& in) {
        return claim_record{in.at("owner").get<host_id>(), in.at("epoch").get<epoch_number>()};
    });
}

result<head_record> parse_head(std::string_view text) {
    return parse_record(text, [](const json& in) {
        return head_record{in.at("epoch").get<epoch_number>(),
                           in.at("number").get<std::uint64_t>()};
    });
}

result<std::vector<known_worker>> parse_known_workers(std::string_view text) {
    return parse_record(text, [](const json& in) {
        std::vector<known_worker> workers;
        for (const auto& row : in) {
            // A successor waits for each worker of the list, also for one whose address it can't
            // read here.
            const auto address = parse_address(row.at(1).get<std::string>());
            workers.push_back(
                {{row.at(0).get<worker_id>(), address ? address.value() : socket_address{}},
                 row.size() > 2 ? row.at(2).get<epoch_number>() : epoch_number{},
                 decode_promise(row)});
        }
        return workers;
    });
}

result<ownership_record> parse_ownership(std::string_view text) {
    return parse_record(text, [](const json& in) {
        ownership_record record{decode_term(in.at("current")), {}};
        for (const auto& row : in.at("earlier")) {
            record.earlier.push_back(decode_term(row));
        }
        return record;
    });
}

result<std::vector<shard_record>> parse_shards(std::string_view text) {
    return parse_record(text, [](const json& in) {
        std::vector<shard_record> shards;
        for (const auto& row : in) {
            shards.push_back({row.at("id").get<shard_id>(),
                              row.at("data_centre").get<data_centre_id>(),
                              row.at("racks").get<std::vector<rack_id>>()});
        }
        return shards;
    });
}

json encode_spec(const job_spec& spec) {
    json steps = json::array();
    for (const auto& step : spec.steps) {
        json row{{"n", step.count},
                 {"cpu", step.need.processors},
                 {"mem", step.need.memory},
                 {"est", step.estimate.count()}};
        put_unless(row, "gpu", step.need.accelerators.value, std::int64_t{0});
        put_unless(row, "after", step.after, {});
        put_unless(row, "ckpt", step.checkpoints, false);
        put_unless(row, "gang", step.gang, false);
        put_unless(row, "rack", step.one_rack, false);
        put_unless(row, "label", step.label, {});
        put_unless(row, "data", step.data_rack.value, {});
        put_unless(row, "spread", step.spread_limit, 0U);
        put_unless(row, "copies", step.speculative, false);
        put_unless(row, "lasts", step.long_running, false);
        put_unless(row, "image", step.image, {});
        put_unless(row, "tail", step.tail_target.count(), std::int64_t{0});
        put_unless(row, "fills", step.filler, false);
        put_unless(row, "away", step.max_unavailable, 0U);
        steps.push_back(std::move(row));
    }
    json out{{"payload", spec.payload}, {"steps", std::move(steps)}};
    if (spec.occurrences > 0) {
        out["times"] = spec.occurrences;
        out["first"] = spec.first_due;
        out["every"] = spec.interval.count();
    }
    return out;
}

job_spec decode_spec(const json& from) {
    job_spec spec;
    spec.payload = from.at("payload").get<std::string>();
    for (const auto& row : from.at("steps")) {
        step_spec step;
        step.count = row.at("n").get<std::uint32_t>();
        step.need = {row.at("cpu").get<millicores>(),
                     row.at("mem").get<mebibytes>(),
                     {row.value("gpu", std::int64_t{0})}};
        step.estimate = duration(row.at("est").get<std::int64_t>());
        step.after = row.value("after", step.after);
        step.checkpoints = row.value("ckpt", false);
        step.gang = row.value("gang", false);
        step.one_rack = row.value("rack", false);
        step.label = row.value("label", "");
        step.data_rack.value = row.value("data", "");
        step.spread_limit = row.value("spread", 0U);
        step.speculative = row.value("copies", false);
        step.long_running = row.value("lasts", false);
        step.image = row.value("image", "");
        step.tail_target = duration(row.value("tail", std::int64_t{0}));
        step.filler = row.value("fills", false);
        step.max_unavailable = row.value("away", 0U);
        spec.steps.push_back(std::move(step));
    }
    spec.occurrences = from.value("times", 0U);
    spec.first_due.value = from.value("first", std::int64_t{0});
    spec.interval = duration(from.value("every", std::int64_t{0}));
    return spec;
}

json encode_queue(const queue_spec& queue) {
    json out{{"id", queue.id},
             {"service", queue.service},
             {"priority", queue.priority},
             {"attempts", queue.max_attempts},
             {"stretch", queue.stretch},
             {"objective", queue.objective.count()}};
    if (queue.needs_advice) {
        out["advice"] = {queue.advice.call_time.count(), queue.advice.time_per_worker.count(),
                         queue.advice.ticket_validity.count()};
    }
    return out;
}

queue_spec decode_queue(const json& from) {
    queue_spec queue;
    queue.id = from.at("id").get<queue_id>();
    queue.service = from.at("service").get<service_id>();
    queue.priority = from.at("priority").get<std::int32_t>();
    queue.max_attempts = from.at("attempts").get<std::uint32_t>();
    queue.stretch = from.at("stretch").get<double>();
    queue.objective = duration(from.at("objective").get<std::int64_t>());
    if (from.contains("advice")) {
        const auto& advice = from.at("advice");
        queue.needs_advice = true;
        queue.advice = {duration(advice.at(0).get<std::int64_t>()),
                        duration(advice.at(1).get<std::int64_t>()),
                        duration(advice.at(2).get<std::int64_t>())};
    }
    return queue;
}

std::string encode_job(const job_row& job) {
    json out{{"queue", encode_queue(job.queue)},
             {"spec", encode_spec(job.spec)},
             {"accepted", job.accepted}};
    put_unless(out, "home", job.lender.value, {});
    put_starts_recorded_by(out, job);
    return out.dump();
}

result<job_row> parse_job(const job_id& id, std::string_view text) {
    return parse_record(text, [&](const json& in) {
        job_row job;
        job.id = id;
        job.queue = decode_queue(in.at("queue"));
        job.spec = decode_spec(in.at("spec"));
        job.accepted = in.at("accepted").get<unix_time>();
        job.lender.value = in.value("home", "");
        job.starts_recorded_by.value = in.value("starts_recorded_by", std::uint64_t{0});
        job.spec_stored = true;
        return job;
    });
}

std::string encode_progress(const job_row& job) {
    json out{{"phase", static_cast<int>(job.phase)}};
    put_unless(out, "ended", job.ended.value, std::int64_t{0});
    put_unless(out, "next", job.next_occurrence, 0U);
    put_unless(out, "done", job.occurrences_done, 0U);
    if (!job.loans.empty()) {
        out["loans"] = json::array();
        for (const auto& [number, to] : job.loans) {
            out["loans"].push_back({number, to});
        }
    }
    if (auto recorded = encode_recorded_runs(job); !recorded.empty()) {
        out["recorded"] = std::move(recorded);
    }
    if (auto planned = encode_planned_starts(job); !planned.empty()) {
        out["planned"] = std::move(planned);
    }
    put_starts_recorded_by(out, job);
    if (job.stored_by.value != 0 && exceeds_reserved_numbers(job)) {
        out["by"] = job.stored_by;
    }
    if (is_borrowed(job)) {
        out["borrowed"] = encode_borrowed(job);
        return out.dump();
    }
    if (has_ended(job.phase)) {
        return out.dump();
    }
    json stages = json::array();
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& stage : occurrence.stages) {
            const auto tasks = encode_tasks(stage);
            if (stage.done > 0 || !tasks.empty()) {
                stages.push_back({number, stage.step, encode_done(stage), tasks});
            }
        }
    }
    out["open"] = json::array();
    for (const auto& [number, occurrence] : job.occurrences) {
        out["open"].push_back(number);
    }
    out["stages"] = std::move(stages);
    return out.dump();
}

result<void> parse_progress(job_row& job, std::string_view text) {
    const auto parsed = parse_record(text, [&](const json& in) {
        job.phase = static_cast<job_phase>(in.at("phase").get<int>());
        job.ended.value = in.value("ended", std::int64_t{0});
        job.next_occurrence = in.value("next", 0U);
        job.occurrences_done = in.value("done", 0U);
        job.stored_by.value = in.value("by", std::uint64_t{0});
        job.starts_recorded_by.value = in.value("starts_recorded_by", std::uint64_t{0});
        for (const auto& loan : in.value("loans", json::array())) {
            job.loans[loan.at(0).get<std::uint64_t>()] = loan.at(1).get<shard_id>();
        }
        if (is_borrowed(job)) {
            decode_borrowed(job, in.at("borrowed"));
            decode_recorded_runs(job, in);
            return true;
        }
        if (has_ended(job.phase)) {
            return true;
        }
        for (const auto& number : in.at("open")) {
            const auto occurrence = number.get<std::uint32_t>();
            job.occurrences.emplace(occurrence, make_occurrence(job.spec, occurrence));
        }
        for (const auto& row : in.at("stages")) {
            auto& occurrence = job.occurrences.at(row.at(0).get<std::uint32_t>());
            auto& stage = occurrence.stages.at(row.at(1).get<std::uint32_t>());
            decode_done(stage, row.at(2).get<std::string>());
            for (const auto& entry : row.at(3)) {
                auto& task = stage.tasks.at(entry.at(0).get<std::size_t>());
                task.failed_runs = entry.at(1).get<std::vector<run_number>>();
                task.last_run = entry.at(2).get<run_number>();
                task.checkpoint = entry.at(3).get<std::string>();
                task.loan = entry.at(4).get<std::uint64_t>();
                decode_parking(entry, task);
                if (task.loan != 0) {
                    task.not_local = true;
                    task.no_unknown_run =
                        !job.spec.steps[stage.step].gang; // it was lent because it had no run here
                    stage.waiting.erase(entry.at(0).get<std::uint32_t>());
                }
            }
        }
        decode_recorded_runs(job, in);
        for (auto& [number, occurrence] : job.occurrences) {
            open_stages(job.spec, occurrence);
        }
        return true;
    });
    if (!parsed) {
        return parsed.error();
    }
    return outcome::success();
}

} // namespace fulmar
