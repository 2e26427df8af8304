#include "poplarpitch/config/configuration_parser.h"

#include "poplarpitch/config/section_reader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <set>

namespace poplarpitch {
namespace {

constexpr std::int64_t max_count = 1'000'000;
constexpr double max_weight = 1000;

/// Parses one text. Keeps the state that checks across sections need.
class configuration_reader {
public:
    explicit configuration_reader(std::string_view text) : m_document(parse_ini(text)) {
        m_parsed.errors = m_document.errors;
    }

    parsed_configuration read() {
        for (const auto& section : m_document.sections) {
            read_section(section);
        }
        check_system();
        check_dependencies();
        std::stable_sort(m_parsed.errors.begin(), m_parsed.errors.end());
        return std::move(m_parsed);
    }

private:
    void read_section(const ini_section& section) {
        section_reader reader(section, m_parsed.errors);
        const bool is_named =
            section.kind == "tenant" || section.kind == "service" || section.kind == "batch";
        if (is_named != !section.name.empty()) {
            m_parsed.errors.push_back(
                {section.line,
                 absl::StrCat("section [", section.kind, "] ", is_named ? "needs a name" : "takes no name")});
        }
        if (section.kind == "system") {
            read_system(section, reader);
        } else if (section.kind == "objective") {
            read_objective(reader);
        } else if (section.kind == "tenant") {
            read_tenant(section, reader);
        } else if (section.kind == "service") {
            read_service(section, reader);
        } else if (section.kind == "batch") {
            read_batch(section, reader);
        } else {
            m_parsed.errors.push_back({section.line, absl::StrCat("unknown section [", section.kind, "]")});
            return;
        }
        reader.finish();
    }

    void read_system(const ini_section& section, section_reader& reader) {
        auto& system = m_parsed.value.system;
        m_system_line = section.line;
        system.session_lease = reader.get_duration("session_lease", system.session_lease);
        system.drift_margin = reader.get_duration("drift_margin", system.drift_margin);
        system.task_lease = reader.get_duration("task_lease", system.task_lease);
        system.announce_interval = reader.get_duration("announce_interval", system.announce_interval);
        system.target_silence = reader.get_duration("target_silence", system.target_silence);
        system.intent_lifetime = reader.get_duration("intent_lifetime", system.intent_lifetime);
        system.job_retention = reader.get_duration("job_retention", system.job_retention);
        system.max_attempts =
            static_cast<int>(reader.get_integer("max_attempts", system.max_attempts, 1, 1000));
    }

    void read_objective(section_reader& reader) {
        auto& objective = m_parsed.value.objective;
        objective.tail = reader.get_number("tail", objective.tail, 0, max_weight);
        objective.throughput = reader.get_number("throughput", objective.throughput, 0, max_weight);
        objective.evictions = reader.get_number("evictions", objective.evictions, 0, max_weight);
    }

    void read_tenant(const ini_section& section, section_reader& reader) {
        tenant_settings tenant;
        tenant.name = section.name;
        tenant.weight = reader.get_number("weight", tenant.weight, 0.001, max_weight);
        tenant.max_in_flight = reader.get_integer("max_in_flight", tenant.max_in_flight, 1, max_count);
        tenant.max_jobs = reader.get_integer("max_jobs", tenant.max_jobs, 0, max_count);
        tenant.millicores = reader.get_integer("quota_cores", 0, 0, max_count) * 1000;
        tenant.accelerators = reader.get_integer("quota_accelerators", 0, 0, max_count);
        m_parsed.value.tenants.push_back(std::move(tenant));
    }

    void read_service(const ini_section& section, section_reader& reader) {
        service_settings service;
        service.name = section.name;
        service.dependencies = reader.get_list("depends");
        service.deadline = reader.get_duration("deadline", service.deadline);
        service.idempotent = reader.get_flag("idempotent", service.idempotent);
        service.require_key = reader.get_flag("require_key", service.require_key);
        service.hedge = reader.get_flag("hedge", service.hedge);
        service.serve_when_cut_off = reader.get_flag("serve_when_cut_off", service.serve_when_cut_off);
        service.max_queue = reader.get_integer("max_queue", service.max_queue, 0, max_count);
        service.max_in_flight = reader.get_integer("max_in_flight", service.max_in_flight, 1, max_count);
        service.demand = read_demand(reader, service.demand);
        if (service.demand.slots < 1) {
            reader.add_error("slots", "a request takes at least one slot");
        }
        m_dependency_lines[service.name] = reader.get_line("depends");
        m_parsed.value.services.push_back(std::move(service));
    }

    void read_batch(const ini_section& section, section_reader& reader) {
        batch_settings batch;
        batch.name = section.name;
        batch.demand = read_demand(reader, batch.demand);
        batch.run_time = reader.get_duration("run_time", batch.run_time);
        batch.idempotent = reader.get_flag("idempotent", batch.idempotent);
        batch.urgent = reader.get_flag("urgent", batch.urgent);
        batch.noise = reader.get_number("noise", batch.noise, 0, 1);
        m_parsed.value.batches.push_back(std::move(batch));
    }

    static resources read_demand(section_reader& reader, resources demand) {
        demand.slots = reader.get_integer("slots", demand.slots, 0, max_count);
        const double cores = static_cast<double>(demand.millicores) / 1000;
        demand.millicores = static_cast<std::int64_t>(reader.get_number("cores", cores, 0, 100000) * 1000);
        demand.memory = reader.get_bytes("memory", demand.memory);
        demand.accelerators = reader.get_integer("accelerators", demand.accelerators, 0, max_count);
        return demand;
    }

    /// The lease times must be ordered, so that a lease holder always gives up before another takes over.
    void check_system() {
        const auto& system = m_parsed.value.system;
        if (system.drift_margin * 2 >= system.session_lease) {
            m_parsed.errors.push_back({m_system_line, "drift_margin must be under half of session_lease"});
        }
        if (system.task_lease < system.session_lease * 2) {
            m_parsed.errors.push_back({m_system_line, "task_lease must be at least twice session_lease"});
        }
        if (system.target_silence <= system.announce_interval) {
            m_parsed.errors.push_back({m_system_line, "target_silence must be above announce_interval"});
        }
    }

    /// Every dependency must name a service, and there must be no dependency cycle.
    void check_dependencies() {
        for (const auto& service : m_parsed.value.services) {
            for (const auto& name : service.dependencies) {
                if (m_parsed.value.find_service(name) == nullptr) {
                    m_parsed.errors.push_back({m_dependency_lines[service.name],
                                               absl::StrCat("depends: no service is called '", name, "'")});
                }
            }
        }
        std::set<std::string> finished;
        for (const auto& service : m_parsed.value.services) {
            std::vector<std::string> path;
            visit(service, path, finished);
        }
    }

    void visit(const service_settings& service, std::vector<std::string>& path,
               std::set<std::string>& finished) {
        if (finished.contains(service.name)) {
            return;
        }
        const auto cycle_start = std::find(path.begin(), path.end(), service.name);
        if (cycle_start != path.end()) {
            std::string cycle;
            for (auto step = cycle_start; step != path.end(); ++step) {
                absl::StrAppend(&cycle, *step, " -> ");
            }
            m_parsed.errors.push_back(
                {m_dependency_lines[service.name], absl::StrCat("depends: cycle ", cycle, service.name)});
            return;
        }
        path.push_back(service.name);
        for (const auto& name : service.dependencies) {
            const auto* next = m_parsed.value.find_service(name);
            if (next != nullptr) {
                visit(*next, path, finished);
            }
        }
        path.pop_back();
        finished.insert(service.name);
    }

    ini_document m_document;
    parsed_configuration m_parsed;
    int m_system_line = 0;                         ///< line of [system], for checks across keys
    std::map<std::string, int> m_dependency_lines; ///< line of each service's `depends`
};

} // namespace

parsed_configuration parse_configuration(std::string_view text) {
    return configuration_reader(text).read();
}

} // namespace poplarpitch
