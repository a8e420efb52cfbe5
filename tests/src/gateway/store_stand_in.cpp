#include "store_stand_in.hpp"

#include <algorithm> // min, remove_if
#include <utility>   // exchange

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <gtest/gtest.h>

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::tests
{

using nlohmann::json;
namespace http = boost::beast::http;

namespace
{

constexpr char const * objects_prefix = "/api/objects/";
constexpr char const * status_suffix = "/status";

std::string query_value(std::string const & target, std::string const & name)
{
    auto const position = target.find(name + "=");
    if (position == std::string::npos)
    {
        return {};
    }
    auto const begin = position + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

} // namespace

store_stand_in::store_stand_in(boost::asio::io_context & loop)
    : io(loop)
    , listener(loop, *this)
{
    failure reason;
    EXPECT_TRUE(this->listener.open({"127.0.0.1", 0}, reason))
        << reason.describe();
}

endpoint store_stand_in::address() const
{
    return {"127.0.0.1", this->listener.port()};
}

std::uint64_t store_stand_in::request_count() const
{
    return this->received_requests;
}

void store_stand_in::handle(std::shared_ptr<detail::exchange> incoming)
{
    this->received_requests += 1;
    bool const accepts_old_data =
        detail::std_view(incoming->request.target()).find("staleOk=1") !=
        std::string_view::npos;
    if (this->unresponsive ||
        (this->answers_old_data_only && !accepts_old_data))
    {
        return;
    }
    if (this->status != 0)
    {
        this->send_response(*incoming, this->status, json::object());
        return;
    }
    std::string const target(incoming->request.target());
    auto const path = target.substr(0, target.find('?'));
    auto const kind_and_name = path.substr(std::string(objects_prefix).size());
    auto const slash = kind_and_name.find('/');
    auto const kind = kind_and_name.substr(0, slash);
    auto const name =
        slash == std::string::npos ? "" : kind_and_name.substr(slash + 1);
    auto const method = incoming->request.method();
    this->received_requests_of[kind] += 1;
    auto const status_position = name.rfind(status_suffix);
    if (method == http::verb::put && status_position != std::string::npos)
    {
        this->respond_to_status_write(
            incoming, kind, name.substr(0, status_position));
        return;
    }
    if (method == http::verb::get && target.find("watch=") != std::string::npos)
    {
        this->respond_to_watch(
            incoming, kind, std::stoull(query_value(target, "watch")));
        this->schedule_watch_timeout(incoming, query_value(target, "waitMs"));
    }
    else if (method == http::verb::get)
    {
        if (kind == "config" && !this->stale_configurations.is_null() &&
            accepts_old_data)
        {
            this->send_response(*incoming,
                                200,
                                {{"items", this->stale_configurations},
                                 {"hasMore", false},
                                 {"storeRevision", this->revision}});
            return;
        }
        this->respond_to_list(*incoming, kind, query_value(target, "after"));
    }
    else if (method == http::verb::delete_)
    {
        this->respond_to_delete(*incoming, kind, name);
    }
    else
    {
        this->respond_to_write(incoming, kind, name);
    }
}

void store_stand_in::put(std::string const & kind,
                         std::string const & name,
                         json spec)
{
    auto & object = this->kinds[kind][name];
    object["metadata"] = {{"name", name}, {"revision", this->revision + 1}};
    object["spec"] = std::move(spec);
    this->record(kind, object, false);
}

void store_stand_in::erase(std::string const & kind, std::string const & name)
{
    auto const object = this->kinds[kind][name];
    this->kinds[kind].erase(name);
    this->record(kind, object, true);
}

json store_stand_in::spec(std::string const & kind,
                          std::string const & name) const
{
    auto const found = this->kinds.find(kind);
    if (found == this->kinds.end() || found->second.count(name) == 0)
    {
        return nullptr;
    }
    return found->second.at(name).at("spec");
}

void store_stand_in::put_status(std::string const & kind,
                                std::string const & name,
                                json new_status)
{
    auto & object = this->kinds.at(kind).at(name);
    object["status"] = std::move(new_status);
    object["metadata"]["revision"] = this->revision + 1;
    this->record(kind, object, false);
}

json store_stand_in::status_of(std::string const & kind,
                               std::string const & name) const
{
    auto const found = this->kinds.find(kind);
    if (found == this->kinds.end() || found->second.count(name) == 0)
    {
        return nullptr;
    }
    return found->second.at(name).value("status", json());
}

std::uint64_t store_stand_in::request_count_of(std::string const & kind) const
{
    auto const found = this->received_requests_of.find(kind);
    return found == this->received_requests_of.end() ? 0 : found->second;
}

std::uint64_t store_stand_in::list_count_of(std::string const & kind) const
{
    auto const found = this->sent_lists_of.find(kind);
    return found == this->sent_lists_of.end() ? 0 : found->second;
}

void store_stand_in::end_watches_without_events()
{
    for (auto const & watch : std::exchange(this->watches, {}))
    {
        if (auto const client = watch.client.lock())
        {
            this->send_response(
                *client,
                200,
                {{"events", json::array()}, {"storeRevision", this->revision}});
        }
    }
}

void store_stand_in::close_watch_connections()
{
    for (auto const & watch : std::exchange(this->watches, {}))
    {
        if (auto const client = watch.client.lock())
        {
            // an empty response with Connection: close ends the watch
            // unanswered
            detail::response_message response{http::status::ok, 11};
            response.keep_alive(false);
            response.prepare_payload();
            client->respond(std::move(response));
        }
    }
}

void store_stand_in::send_held_responses()
{
    for (auto const & response : std::exchange(this->held_responses, {}))
    {
        this->send_response(
            *response.client, 200, response.object, response.era);
    }
}

void store_stand_in::deliver_withheld_events()
{
    this->withhold_events = false;
    this->notify();
}

void store_stand_in::discard_history()
{
    this->history_start = this->revision;
}

void store_stand_in::restore(std::uint64_t to_revision)
{
    this->era += 1;
    this->revision = to_revision;
    this->history_start = std::min(this->history_start, to_revision);
    this->history.erase(std::remove_if(this->history.begin(),
                                       this->history.end(),
                                       [to_revision](change const & entry)
                                       {
                                           return entry.revision > to_revision;
                                       }),
                        this->history.end());
    this->kinds.clear();
    for (auto const & entry : this->history)
    {
        auto const name = entry.object.at("metadata").at("name");
        if (entry.deleted)
        {
            this->kinds[entry.kind].erase(name);
        }
        else
        {
            this->kinds[entry.kind][name] = entry.object;
        }
    }
    this->close_watch_connections();
}

void store_stand_in::restore_copy_of_age(duration age)
{
    auto const copy_time = detail::loop_now() - age;
    std::uint64_t to_revision = 1;
    for (auto const & entry : this->history)
    {
        if (entry.time <= copy_time)
        {
            to_revision = entry.revision;
        }
    }
    this->restore(to_revision);
}

json store_stand_in::list(std::string const & kind) const
{
    json items = json::array();
    if (auto const found = this->kinds.find(kind); found != this->kinds.end())
    {
        for (auto const & [name, object] : found->second)
        {
            items.push_back(object);
        }
    }
    return items;
}

std::uint64_t store_stand_in::current_revision() const
{
    return this->revision;
}

std::uint64_t store_stand_in::current_era() const
{
    return this->era;
}

void store_stand_in::record(std::string const & kind,
                            json const & object,
                            bool deleted)
{
    this->revision += 1;
    this->history.push_back(
        {this->revision, kind, object, deleted, detail::loop_now()});
    this->notify();
}

void store_stand_in::notify()
{
    if (this->withhold_events)
    {
        return;
    }
    std::vector<pending_watch> still_pending;
    for (auto const & watch : std::exchange(this->watches, {}))
    {
        auto const client = watch.client.lock();
        auto const events = this->events_after(watch.kind, watch.after);
        if (client && events.empty())
        {
            still_pending.push_back(watch);
        }
        else if (client)
        {
            this->send_response(
                *client,
                200,
                {{"events", events}, {"storeRevision", this->revision}});
        }
    }
    this->watches.insert(
        this->watches.end(), still_pending.begin(), still_pending.end());
}

json store_stand_in::events_after(std::string const & kind,
                                  std::uint64_t after) const
{
    json events = json::array();
    for (auto const & entry : this->history)
    {
        if (entry.kind == kind && entry.revision > after)
        {
            events.push_back(
                {{"object", entry.object}, {"deleted", entry.deleted}});
        }
    }
    return events;
}

void store_stand_in::respond_to_list(detail::exchange & client,
                                     std::string const & kind,
                                     std::string const & after)
{
    if (this->fail_later_pages && !after.empty())
    {
        this->send_response(client, 503, json::object());
        return;
    }
    this->sent_lists_of[kind] += 1;
    json items = json::array();
    bool has_more = false;
    for (auto const & [name, object] : this->kinds[kind])
    {
        if (name <= after)
        {
            continue;
        }
        has_more = items.size() == this->page_size;
        if (has_more)
        {
            break;
        }
        items.push_back(object);
    }
    this->send_response(client,
                        200,
                        {{"items", items},
                         {"hasMore", has_more},
                         {"storeRevision", this->revision}});
}

void store_stand_in::respond_to_watch(
    std::shared_ptr<detail::exchange> const & client,
    std::string const & kind,
    std::uint64_t after)
{
    if (after < this->history_start || after > this->revision)
    {
        this->send_response(*client, 410, json::object());
        return;
    }
    this->watches.push_back({kind, after, client});
    this->notify();
}

void store_stand_in::schedule_watch_timeout(
    std::weak_ptr<detail::exchange> const & client, std::string const & wait_ms)
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(
        this->io, std::chrono::milliseconds(std::stoi(wait_ms)));
    timer->async_wait(
        [this, timer, client](boost::system::error_code error)
        {
            auto const waiting = client.lock();
            if (error || !waiting || waiting->is_finished())
            {
                return;
            }
            auto const is_same_client = [&waiting](pending_watch const & watch)
            {
                return watch.client.lock() == waiting;
            };
            this->watches.erase(std::remove_if(this->watches.begin(),
                                               this->watches.end(),
                                               is_same_client),
                                this->watches.end());
            this->send_response(
                *waiting,
                200,
                {{"events", json::array()}, {"storeRevision", this->revision}});
        });
}

void store_stand_in::respond_to_write(
    std::shared_ptr<detail::exchange> const & incoming,
    std::string const & kind,
    std::string const & name)
{
    auto & client = *incoming;
    auto const body = json::parse(client.request.body().text());
    auto const object_name =
        name.empty() ? body.at("metadata").at("name").get<std::string>() : name;
    auto & objects = this->kinds[kind];
    auto const found = objects.find(object_name);
    bool const is_create = client.request.method() == http::verb::post;
    if (!is_create && found == objects.end())
    {
        this->send_response(client, 404, json::object());
        return;
    }
    bool const stale =
        found != objects.end() &&
        (is_create || body.at("metadata").at("revision") !=
                          found->second.at("metadata").at("revision"));
    if (stale)
    {
        this->send_response(client, 409, found->second);
        return;
    }
    this->put(kind, object_name, body.at("spec"));
    this->respond_to_applied_write(incoming, objects.at(object_name));
}

void store_stand_in::respond_to_status_write(
    std::shared_ptr<detail::exchange> const & incoming,
    std::string const & kind,
    std::string const & name)
{
    auto const body = json::parse(incoming->request.body().text());
    if (!this->ignored_status.empty() &&
        body.at("status").value("state", "") == this->ignored_status)
    {
        this->ignored_writes += 1;
        return;
    }
    auto & objects = this->kinds[kind];
    auto const found = objects.find(name);
    if (found == objects.end())
    {
        this->send_response(*incoming, 404, json::object());
        return;
    }
    if (body.at("metadata").at("revision") !=
        found->second.at("metadata").at("revision"))
    {
        this->send_response(*incoming, 409, found->second);
        return;
    }
    this->status_writes.push_back(body.at("status"));
    this->put_status(kind, name, body.at("status"));
    if (this->status_responses_to_drop > 0)
    {
        this->status_responses_to_drop -= 1;
        return;
    }
    this->respond_to_applied_write(incoming, found->second);
}

void store_stand_in::respond_to_applied_write(
    std::shared_ptr<detail::exchange> const & incoming, json const & object)
{
    if (this->responses_to_drop > 0)
    {
        this->responses_to_drop -= 1;
        return;
    }
    if (this->responses_to_hold > 0)
    {
        this->responses_to_hold -= 1;
        this->held_responses.push_back({incoming, object, this->era});
        return;
    }
    this->send_response(*incoming, 200, object);
}

void store_stand_in::respond_to_delete(detail::exchange & client,
                                       std::string const & kind,
                                       std::string const & name)
{
    if (this->kinds[kind].count(name) == 0)
    {
        this->send_response(client, 404, json::object());
        return;
    }
    auto const object = this->kinds[kind].at(name);
    this->erase(kind, name);
    this->send_response(client, 200, object);
}

void store_stand_in::send_response(detail::exchange & client,
                                   unsigned status_code,
                                   json const & body) const
{
    this->send_response(client, status_code, body, this->era);
}

void store_stand_in::send_response(detail::exchange & client,
                                   unsigned status_code,
                                   json const & body,
                                   std::uint64_t stated_era) const
{
    detail::response_message message{static_cast<http::status>(status_code),
                                     11};
    if (this->states_era)
    {
        message.set("Store-Era", std::to_string(stated_era));
    }
    message.body() = body.dump();
    message.keep_alive(true);
    message.prepare_payload();
    client.respond(std::move(message));
}

} // namespace endivehinge::tests
