#include <common/target_handler.hpp>

#include <unistd.h> // _exit, pause

#include <algorithm> // min

#include <absl/strings/match.h>   // StrContains
#include <absl/strings/numbers.h> // SimpleAtoi
#include <absl/time/clock.h>      // Now, SleepFor

#include <common/answer_report.hpp>
#include <common/connection_state.hpp>
#include <common/json_response.hpp>
#include <common/request_marks.hpp>
#include <endivehinge/core/header_names.hpp>

namespace endivehinge::tools
{
namespace
{

constexpr int exit_died = 42;
constexpr absl::Duration work_step = absl::Milliseconds(5);
constexpr absl::Duration frozen_step = absl::Milliseconds(20);
constexpr absl::Duration longest_wait = absl::Seconds(30);

std::string text_of(http_request const & message, char const * name)
{
    auto const * const value = message.headers.find(name);
    return value == nullptr ? std::string() : *value;
}

absl::Time deadline_of(http_request const & message, absl::Time now)
{
    std::int64_t left_ms = 0;
    return absl::SimpleAtoi(text_of(message, header_names::timeout_ms),
                            &left_ms)
               ? now + absl::Milliseconds(left_ms)
               : now + longest_wait;
}

// says that the request was not run
http_response reject(std::string const & why)
{
    auto response = json_response(status_unavailable, {{"error", why}});
    response.headers.set(header_names::outcome, "rejected");
    response.headers.set(header_names::retry_after, "1");
    return response;
}

http_response answer(http_request const & message, std::string const & target)
{
    request_marks const marks = read_marks(message.path);
    http_response response;
    response.status = status_ok;
    response.body =
        marks.wants_report()
            ? write_answer(marks,
                           text_of(message, header_names::request_id),
                           target,
                           message.body)
            : message.method + " " + message.path + "\n" + message.body;
    return response;
}

} // namespace

target_handler::target_handler(target_identity const & identity,
                               behaviour_holder<target_behaviour> & behaviour)
    : name(identity.name)
    , holder(behaviour)
    , history(identity.history_path)
    , warmth(absl::Now())
    , times(identity.seed)
    , chain(identity.node)
    , slots(
          [this]()
          {
              return this->bounds();
          })
{
}

http_response target_handler::handle(http_request message,
                                     detail::http_connection connection)
{
    target_behaviour const behaviour = this->holder.get();
    if (message.method == "GET" && message.path == "/load")
    {
        return this->load(behaviour);
    }
    if (behaviour.phase == "draining")
    {
        ++this->shed;
        return reject("the target is leaving");
    }
    ++this->present;
    this->fall_if_overloaded(message, behaviour);
    http_response response = this->admit(message, connection);
    --this->present;
    return response;
}

void target_handler::turn_cold()
{
    this->warmth.restart(absl::Now());
}

std::string target_handler::phase() const
{
    target_behaviour const behaviour = this->holder.get();
    if (behaviour.phase == "cold")
    {
        return this->warmth.is_cold(behaviour, absl::Now()) ? "cold" : "ready";
    }
    return behaviour.phase;
}

nlohmann::json target_handler::report() const
{
    return {{"started", this->started.load()},
            {"shed", this->shed.load()},
            {"stopped", this->stopped.load()},
            {"load_reads", this->load_reads.load()},
            {"running", this->slots.running()},
            {"inside", this->slots.inside()},
            {"most_running", this->most_running.load()},
            {"phase", this->phase()}};
}

http_response target_handler::load(target_behaviour const & behaviour)
{
    ++this->load_reads;
    auto const told =
        this->loads.tell(this->slots.inside(), behaviour, absl::Now());
    return json_response(status_ok,
                         {{"in_flight", told}, {"slots", behaviour.slots}});
}

http_response target_handler::admit(http_request const & message,
                                    detail::http_connection connection)
{
    target_behaviour const behaviour = this->holder.get();
    absl::Time const now = absl::Now();
    absl::Time const deadline = behaviour.honours_deadline != 0
                                    ? deadline_of(message, now)
                                    : now + longest_wait;
    bool const watches = behaviour.honours_cancellation != 0;
    auto const entry =
        this->slots.enter(deadline,
                          [watches, connection]()
                          {
                              return watches && has_hung_up(connection);
                          });
    if (entry != slot_entry::admitted)
    {
        ++this->shed;
        return reject(entry == slot_entry::full ? "no room" : "too late");
    }
    auto const running = this->slots.running();
    auto most = this->most_running.load();
    while (most < running &&
           !this->most_running.compare_exchange_weak(most, running))
    {
    }
    http_response response =
        this->run(message, deadline_of(message, now), connection);
    this->slots.leave();
    return response;
}

http_response target_handler::run(http_request const & message,
                                  absl::Time deadline,
                                  detail::http_connection connection)
{
    ++this->started;
    this->write(history_event::start, message);
    std::string const marker = this->holder.get().dies_on;
    if (!marker.empty() && (absl::StrContains(message.path, marker) ||
                            absl::StrContains(message.body, marker)))
    {
        this->die(message);
    }
    this->wait_while_frozen(connection);
    bool const done = this->work(connection);
    bool const chained =
        done && this->chain.call(message, read_marks(message.path), deadline);
    this->stopped += done ? 0 : 1;
    this->write(history_event::finish, message);
    http_response response = answer(message, this->name);
    response.status = chained ? status_ok : status_bad_gateway;
    return response;
}

// in short steps, to see a caller that hangs up
bool target_handler::work(detail::http_connection connection)
{
    target_behaviour const behaviour = this->holder.get();
    absl::Time const end = absl::Now() + this->times.draw(behaviour);
    for (absl::Time now = absl::Now(); now < end; now = absl::Now())
    {
        absl::SleepFor(std::min(end - now, work_step));
        if (behaviour.honours_cancellation != 0 && has_hung_up(connection))
        {
            return false;
        }
    }
    return true;
}

void target_handler::wait_while_frozen(detail::http_connection connection) const
{
    auto const is_thawed = [](target_behaviour const & now)
    {
        return now.frozen == 0;
    };
    while (!this->holder.await(is_thawed, frozen_step) &&
           !has_hung_up(connection))
    {
    }
}

void target_handler::fall_if_overloaded(http_request const & message,
                                        target_behaviour const & behaviour)
{
    if (behaviour.cold_breaking_point > 0 &&
        this->warmth.is_cold(behaviour, absl::Now()) &&
        this->present >= behaviour.cold_breaking_point)
    {
        this->die(message);
    }
}

void target_handler::write(history_event event, http_request const & message)
{
    request_marks const marks = read_marks(message.path);
    history_record record;
    record.event = event;
    record.call = marks.call;
    record.attempt = marks.attempt;
    record.id = request_id(text_of(message, header_names::request_id));
    record.key =
        idempotency_key(text_of(message, header_names::idempotency_key));
    record.service = service_of(message.path);
    record.target = this->name;
    this->history.append(record);
}

void target_handler::die(http_request const & message)
{
    if (this->dying.exchange(true))
    {
        // another request ends this process; this one gets no response
        while (true)
        {
            ::pause();
        }
    }
    this->write(history_event::died, message);
    ::_exit(exit_died);
}

slot_bounds target_handler::bounds() const
{
    target_behaviour const behaviour = this->holder.get();
    return {this->warmth.slots(behaviour, absl::Now()), behaviour.queue};
}

} // namespace endivehinge::tools
