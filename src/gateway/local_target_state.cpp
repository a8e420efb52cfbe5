#include <endivehinge/detail/gateway/local_target.hpp>

#include <algorithm> // max
#include <utility>   // exchange, move

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// a lost request is retried after this at the latest, although it is not known
// yet whether the target crashed; a refused connection shows it within 1 ms
constexpr duration max_lost_result_delay = std::chrono::milliseconds(20);
// until a target that did not answer is asked again whether it is cold; its
// rate is that of a cold one meanwhile
constexpr duration failed_cold_check_delay = std::chrono::milliseconds(50);

} // namespace

// ---------------------------------------------------------------------------
// state of the target
// ---------------------------------------------------------------------------

local_target::report_result local_target::report(target_notice const & notice)
{
    if (!notice.report)
    {
        if (this->identity.leave(notice.id, notice.started_ms))
        {
            this->log.write("target_left", {{"target", notice.id.value()}});
            this->update_admission();
        }
        return report_result::accepted;
    }
    auto const & status_report = *notice.report;
    if (status_report.address != this->settings.target_address)
    {
        return report_result::other_target;
    }
    if (status_report.service != this->settings.service)
    {
        this->handle_report_of_other_target(status_report);
        return report_result::other_target;
    }
    auto const before = this->identity.current();
    auto const change = this->identity.report(status_report);
    if (change == target_incarnation_tracker::change::declined)
    {
        return report_result::declined;
    }
    if (change == target_incarnation_tracker::change::none)
    {
        return report_result::accepted;
    }
    if (change == target_incarnation_tracker::change::new_incarnation)
    {
        if (before)
        {
            this->handle_replacement(before->id, before->state);
        }
        this->server.close_idle();
        this->prober.close_idle();
        this->cold_until = time_point();
    }
    this->cold_until =
        std::max(this->cold_until, loop_now() + status_report.cold_remaining);
    if (change != target_incarnation_tracker::change::refreshed)
    {
        this->log_identity("report");
    }
    this->update_admission();
    return report_result::accepted;
}

void local_target::handle_report_of_other_target(
    target_status_report const & received)
{
    auto const & current = this->identity.current();
    if (current && current->id != received.id)
    {
        // reports may be late or invalid, so the address itself is asked; if no
        // probe can be sent, the periodic one follows
        static_cast<void>(this->prober.probe_now(
            [this](call_result const & result)
            {
                this->handle_probe(result);
            }));
    }
}

void local_target::stop_adopting()
{
    this->identity.stop_adopting();
}

void local_target::reassign()
{
    this->log.write("target_reassigned",
                    {{"service", this->settings.service.value()},
                     {"target", this->settings.target_address.to_string()}});
    this->identity.reset();
    this->server.set_remote(this->settings.target_address);
    this->prober.set_address(this->settings.target_address);
    this->properties.reset();
    this->cold_until = time_point();
    this->rate_limit_known = false;
    this->set_rate_limit(std::nullopt, "replacement");
    this->update_admission();
}

void local_target::set_properties(service_properties const & configured)
{
    this->properties = configured;
    this->prober.set_path(configured.health_path);
    this->update_admission();
}

void local_target::set_accounts(std::vector<client_account> const & accounts)
{
    this->account_weights.clear();
    for (auto const & account : accounts)
    {
        if (account.requests_per_second > 0)
        {
            this->account_weights[account.name] = account.requests_per_second;
        }
    }
}

void local_target::set_evacuated(bool is_evacuated)
{
    this->evacuated = is_evacuated;
    this->update_admission();
}

void local_target::restore(target_entry const & stored)
{
    if (stored.service != this->settings.service)
    {
        return;
    }
    target_status_report known;
    known.id = stored.id;
    known.started_ms = stored.started_ms;
    known.state = stored.state;
    known.slots = stored.slots;
    if (this->identity.restore(known))
    {
        this->log.write("target_restored",
                        {{"target", stored.id.value()},
                         {"left", this->identity.current() ? "0" : "1"}});
        this->update_admission();
    }
}

void local_target::on_entry_change(std::function<void()> action)
{
    this->entry_change_action = std::move(action);
}

std::optional<target_entry> local_target::entry() const
{
    auto const & known = this->identity.current() ? this->identity.current()
                                                  : this->identity.departed();
    if (!known)
    {
        return std::nullopt;
    }
    target_entry entry;
    entry.node = this->settings.node;
    entry.peer = this->settings.peer_listener;
    entry.id = known->id;
    entry.started_ms = known->started_ms;
    entry.service = this->settings.service;
    entry.domain = this->settings.domain;
    entry.state = known->state;
    if (this->settings.rollouts)
    {
        entry.version = this->stated_version().value_or(software_version());
    }
    // a target may leave before any report that states its slots
    entry.slots = std::max<std::uint32_t>(known->slots, 1);
    entry.crashing_requests = this->crashes.crashing();
    return entry;
}

target_crash_monitor & local_target::crash_monitor()
{
    return this->crashes;
}

target_load local_target::load() const
{
    auto current_load = this->admission.load(loop_now());
    current_load.closed = current_load.closed || !this->is_version_open();
    return current_load;
}

void local_target::set_rollout(rollout_participant * participant)
{
    this->rollout = participant;
}

rollout_counts local_target::rollout_report() const
{
    return this->rollout->counts(loop_now() < this->cold_until,
                                 this->requests.size());
}

bool local_target::is_version_open() const
{
    return this->rollout == nullptr || this->rollout->accepts();
}

std::optional<software_version> local_target::stated_version() const
{
    auto const & current = this->identity.current();
    // only a report names the service
    bool const is_reported = current && !current->service.value().empty();
    return is_reported ? std::optional(current->version) : std::nullopt;
}

void local_target::record_rollout_response(request_state const & state,
                                           duration run_time,
                                           bool failed)
{
    if (this->rollout == nullptr)
    {
        return;
    }
    auto const & route = state.request.route;
    if (failed)
    {
        this->rollout->record_failure(route);
        return;
    }
    auto const now = loop_now();
    auto const slowdown = std::max(this->admission.load(now).slowdown, 1.0);
    bool const is_comparable = now >= this->cold_until;
    this->rollout->record_response(
        route,
        is_comparable ? std::optional(std::chrono::duration_cast<duration>(
                            run_time / slowdown))
                      : std::nullopt);
}

void local_target::record_rollout_loss(request_state const & state)
{
    auto const & current = this->identity.current();
    // a target that has announced its end closes its connections
    if (this->rollout != nullptr && current &&
        current->state == target_state::ready)
    {
        this->rollout->record_failure(state.request.route);
    }
}

std::uint64_t local_target::opened_connections() const
{
    return this->server.opened_count() + this->prober.opened_connections();
}

void local_target::update_admission()
{
    auto const & current = this->identity.current();
    // without the properties of its service, the rate limit of a cold target is
    // unknown
    bool const open = current && current->state == target_state::ready &&
                      !this->evacuated && this->properties;
    if (current)
    {
        this->admission.set_slots(current->slots);
    }
    this->admission.set_cold(
        this->cold_until,
        this->properties ? this->properties->cold_requests_per_second : 0,
        this->settings.bounds.cold_rate);
    this->admission.set_open(open);
    if (this->rollout != nullptr)
    {
        this->rollout->set_version(this->stated_version());
    }
    this->process_queue();
    if (this->entry_change_action)
    {
        this->entry_change_action();
    }
}

void local_target::apply_response_head(target_response_head const & head)
{
    this->last_response = loop_now();
    this->prober.record_response(this->last_response);
    if (head.slowdown)
    {
        this->admission.set_slowdown(*head.slowdown, this->last_response);
    }
    this->apply_rate_limit(head);
    if (head.cold_remaining)
    {
        this->cold_until = loop_now() + *head.cold_remaining;
        this->admission.set_cold(
            this->cold_until,
            this->properties ? this->properties->cold_requests_per_second : 0,
            this->settings.bounds.cold_rate);
    }
}

void local_target::apply_rate_limit(target_response_head const & head)
{
    if (head.rate_limit_is_invalid && !this->logged_invalid_rate_limit)
    {
        this->logged_invalid_rate_limit = true;
        this->log.write("target_limit_unreadable", {});
    }
    this->rate_limit_known = this->rate_limit_known || head.from_service;
    // only a response of the service itself shows that there is no limit
    if (head.rate_limit || head.from_service)
    {
        this->set_rate_limit(head.rate_limit, "response");
    }
}

void local_target::set_rate_limit(std::optional<double> limit,
                                  char const * source)
{
    if (limit == this->rate_limit)
    {
        return;
    }
    this->rate_limit = limit;
    this->admission.set_stated_rate(limit, loop_now());
    this->log.write("target_limit",
                    {{"requests_per_s", limit ? absl::StrCat(*limit) : "none"},
                     {"by", source}});
}

void local_target::adopt_rate_limit(dispatch_request const & request)
{
    if (!this->rate_limit_known && request.stated_rate)
    {
        this->set_rate_limit(request.stated_rate, "node");
    }
}

void local_target::drain(target_id const & target)
{
    if (this->identity.drain(target))
    {
        this->log_identity("response");
        this->update_admission();
    }
}

void local_target::handle_replacement(target_id const & ended,
                                      target_state last_state)
{
    if (last_state == target_state::ready)
    {
        this->crashes.confirm_crash(ended);
    }
    this->rate_limit_known = true;
    this->set_rate_limit(std::nullopt, "replacement");
}

void local_target::handle_loss(target_status_report const & lost)
{
    this->log.write("target_lost", {{"target", lost.id.value()}});
    this->handle_replacement(lost.id, lost.state);
    this->server.close_idle();
    this->update_admission();
}

void local_target::log_identity(char const * source)
{
    auto const & current = this->identity.current();
    this->log.write(
        "target_known",
        {{"target", current->id.value()},
         {"state",
          current->state == target_state::ready ? "ready" : "draining"},
         {"by", source},
         {"sequence", absl::StrCat(current->sequence)},
         {"slots", absl::StrCat(current->slots)},
         {"cold_ms",
          format_milliseconds(
              std::max(this->cold_until - loop_now(), duration(0)))}});
}

// ---------------------------------------------------------------------------
// crashes of the target
// ---------------------------------------------------------------------------

bool local_target::hold_lost_request(admission_ticket ticket,
                                     request_state const & state,
                                     dispatch_result const & result)
{
    auto const & current = this->identity.current();
    if (!current || current->state != target_state::ready)
    {
        // a target that has announced its end closes its connections
        return false;
    }
    this->crashes.record_lost(state.request, state.suspect, state.started_at);
    if (!this->check_for_crash())
    {
        return false;
    }
    this->lost_results.push_back({ticket, result});
    if (this->lost_results.size() == 1)
    {
        this->arm_lost_result_timer();
    }
    return true;
}

void local_target::arm_lost_result_timer()
{
    this->lost_result_timer.expires_after(max_lost_result_delay);
    this->lost_result_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->finish_lost_requests(false);
            }
        });
}

bool local_target::check_for_crash()
{
    if (this->crash_check_pending)
    {
        return true;
    }
    this->crash_check_pending = this->prober.probe_new_connection(
        [this](call_result const & result)
        {
            this->crash_check_pending = false;
            auto const & current = this->identity.current();
            bool const crashed = result.connection_refused && current;
            if (crashed)
            {
                this->crashes.confirm_crash(current->id);
            }
            this->handle_probe(result);
            if (result.status == call_status::answered)
            {
                this->crashes.dismiss_losses();
            }
            this->finish_lost_requests(crashed);
        });
    return this->crash_check_pending;
}

void local_target::finish_lost_requests(bool crashed)
{
    this->lost_result_timer.cancel();
    for (auto & lost : std::exchange(this->lost_results, {}))
    {
        // cancelled meanwhile otherwise
        if (this->requests.contains(lost.ticket))
        {
            lost.result.target_crashed = crashed;
            this->finish(lost.ticket, std::move(lost.result), true);
        }
    }
}

// ---------------------------------------------------------------------------
// health probes
// ---------------------------------------------------------------------------

void local_target::when_departed(std::function<void()> callback)
{
    if (this->identity.current() || !this->identity.departed())
    {
        return;
    }
    // if no probe can be sent, the entry stays for the next process
    static_cast<void>(this->prober.probe_new_connection(
        [this, callback = std::move(callback)](call_result const & result)
        {
            if (result.connection_refused && !this->identity.current())
            {
                callback();
            }
        }));
}

void local_target::start_probing()
{
    this->prober.start(
        [this](call_result const & result)
        {
            this->handle_probe(result);
        });
}

void local_target::probe_slowdown()
{
    auto const done = [this](call_result const & result)
    {
        bool const answered = result.status == call_status::answered;
        auto const before = this->last_response;
        this->handle_probe(result);
        if (!answered || this->last_response == before)
        {
            this->admission.probe_failed(loop_now());
        }
        this->process_queue();
    };
    if (!this->prober.probe_now(done))
    {
        this->admission.probe_failed(loop_now());
    }
}

void local_target::check_cold()
{
    auto const now = loop_now();
    if (this->cold_check_pending || now < this->next_cold_check ||
        !this->admission.needs_cold_check(now))
    {
        return;
    }
    this->cold_check_pending = this->prober.probe_patiently(
        [this](call_result const & result)
        {
            this->cold_check_pending = false;
            if (result.status != call_status::answered)
            {
                this->next_cold_check = loop_now() + failed_cold_check_delay;
            }
            this->handle_probe(result);
            this->process_queue();
        });
    if (!this->cold_check_pending)
    {
        this->next_cold_check = now + failed_cold_check_delay;
    }
}

void local_target::handle_probe(call_result const & result)
{
    if (result.status != call_status::answered)
    {
        return;
    }
    auto const head = this->adapter.read_response(result.response.result_int(),
                                                  result.response);
    this->apply_response_head(head);
    auto const & probed = this->identity.current();
    bool const is_own = probed && (!head.id || *head.id == probed->id);
    if (is_own && head.cold_remaining.value_or(duration(0)) == duration(0))
    {
        this->admission.confirm_warm(result.sent);
    }
    if (head.leaving && head.id)
    {
        this->drain(*head.id);
    }
    bool const healthy = result.response.result() == http::status::ok;
    if (!healthy || !head.id || !head.slots)
    {
        return;
    }
    auto const before = this->identity.current();
    auto const change =
        this->identity.record_health_response(*head.id, *head.slots);
    if (change == target_incarnation_tracker::change::lost)
    {
        this->handle_loss(*before);
    }
    if (change == target_incarnation_tracker::change::new_incarnation)
    {
        if (before)
        {
            this->handle_replacement(before->id, before->state);
        }
        // a cold target states so in its health response; one that replaced
        // another a moment ago may not have noticed yet
        if (before && !head.cold_remaining && this->properties)
        {
            this->cold_until =
                loop_now() + this->properties->cold_start_duration;
        }
        this->server.close_idle();
        this->prober.close_idle();
        this->log_identity("probe");
        this->update_admission();
    }
}

} // namespace endivehinge::detail
