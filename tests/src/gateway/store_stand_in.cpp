#include "store_stand_in.hpp"

#include <algorithm> // remove_if
#include <utility>   // exchange

#include <boost/asio/steady_timer.hpp> // steady_timer

#include <gtest/gtest.h>

namespace endivehinge::tests
{

using nlohmann::json;
namespace http = boost::beast::http;

namespace
{

constexpr char const * prefix = "/api/objects/";

std::string query_value(std::string const & target, std::string const & name)
{
    auto const at = target.find(name + "=");
    if (at == std::string::npos)
    {
        return {};
    }
    auto const begin = at + name.size() + 1;
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
    return this->call_count;
}

void store_stand_in::handle(std::shared_ptr<detail::exchange> incoming)
{
    this->call_count += 1;
    if (this->unresponsive)
    {
        return;
    }
    if (this->status != 0)
    {
        answer(*incoming, this->status, json::object());
        return;
    }
    std::string const target(incoming->request.target());
    auto const path = target.substr(0, target.find('?'));
    auto const rest = path.substr(std::string(prefix).size());
    auto const slash = rest.find('/');
    auto const kind = rest.substr(0, slash);
    auto const name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    auto const method = incoming->request.method();
    if (method == http::verb::get && target.find("watch=") != std::string::npos)
    {
        this->answer_watch(
            incoming, kind, std::stoull(query_value(target, "watch")));
        this->end_watch_later(incoming, query_value(target, "waitMs"));
    }
    else if (method == http::verb::get)
    {
        this->answer_list(*incoming, kind);
    }
    else if (method == http::verb::delete_)
    {
        this->answer_delete(*incoming, kind, name);
    }
    else
    {
        this->answer_write(incoming, kind, name);
    }
}

void store_stand_in::put(std::string const & kind,
                         std::string const & name,
                         json spec)
{
    auto & object = this->kinds[kind][name];
    object = {{"metadata", {{"name", name}, {"revision", this->revision + 1}}},
              {"spec", std::move(spec)}};
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

void store_stand_in::end_watches_without_events()
{
    for (auto const & one : std::exchange(this->watches, {}))
    {
        if (auto const client = one.client.lock())
        {
            answer(
                *client,
                200,
                {{"events", json::array()}, {"storeRevision", this->revision}});
        }
    }
}

void store_stand_in::close_watch_connections()
{
    for (auto const & one : std::exchange(this->watches, {}))
    {
        if (auto const client = one.client.lock())
        {
            // a response without a body and with Connection: close is cut
            detail::response_message cut{http::status::ok, 11};
            cut.keep_alive(false);
            cut.prepare_payload();
            client->respond(std::move(cut));
        }
    }
}

void store_stand_in::send_held_responses()
{
    for (auto const & one : std::exchange(this->held, {}))
    {
        answer(*one.client, 200, one.object);
    }
}

void store_stand_in::deliver_withheld_events()
{
    this->withhold_events = false;
    this->notify();
}

void store_stand_in::discard_history()
{
    this->history_begins = this->revision;
}

void store_stand_in::record(std::string const & kind,
                            json const & object,
                            bool deleted)
{
    this->revision += 1;
    this->history.push_back({this->revision, kind, object, deleted});
    this->notify();
}

void store_stand_in::notify()
{
    if (this->withhold_events)
    {
        return;
    }
    std::vector<waiting_watch> kept;
    for (auto const & one : std::exchange(this->watches, {}))
    {
        auto const client = one.client.lock();
        auto const events = this->events_after(one.kind, one.after);
        if (client && events.empty())
        {
            kept.push_back(one);
        }
        else if (client)
        {
            answer(*client,
                   200,
                   {{"events", events}, {"storeRevision", this->revision}});
        }
    }
    this->watches.insert(this->watches.end(), kept.begin(), kept.end());
}

json store_stand_in::events_after(std::string const & kind,
                                  std::uint64_t after) const
{
    json events = json::array();
    for (auto const & one : this->history)
    {
        if (one.kind == kind && one.revision > after)
        {
            events.push_back(
                {{"object", one.object}, {"deleted", one.deleted}});
        }
    }
    return events;
}

void store_stand_in::answer_list(detail::exchange & client,
                                 std::string const & kind)
{
    json items = json::array();
    for (auto const & [name, object] : this->kinds[kind])
    {
        items.push_back(object);
    }
    answer(client,
           200,
           {{"items", items},
            {"hasMore", false},
            {"storeRevision", this->revision}});
}

void store_stand_in::answer_watch(
    std::shared_ptr<detail::exchange> const & client,
    std::string const & kind,
    std::uint64_t after)
{
    if (after < this->history_begins)
    {
        answer(*client, 410, json::object());
        return;
    }
    this->watches.push_back({kind, after, client});
    this->notify();
}

void store_stand_in::end_watch_later(
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
            auto const same = [&waiting](waiting_watch const & one)
            {
                return one.client.lock() == waiting;
            };
            this->watches.erase(std::remove_if(this->watches.begin(),
                                               this->watches.end(),
                                               same),
                                this->watches.end());
            answer(
                *waiting,
                200,
                {{"events", json::array()}, {"storeRevision", this->revision}});
        });
}

void store_stand_in::answer_write(
    std::shared_ptr<detail::exchange> const & incoming,
    std::string const & kind,
    std::string const & name)
{
    auto & client = *incoming;
    auto const body = json::parse(client.request.body());
    auto const chosen =
        name.empty() ? body.at("metadata").at("name").get<std::string>() : name;
    auto & objects = this->kinds[kind];
    auto const found = objects.find(chosen);
    bool const creates = client.request.method() == http::verb::post;
    if (!creates && found == objects.end())
    {
        answer(client, 404, json::object());
        return;
    }
    bool const stale =
        found != objects.end() &&
        (creates || body.at("metadata").at("revision") !=
                        found->second.at("metadata").at("revision"));
    if (stale)
    {
        answer(client, 409, found->second);
        return;
    }
    this->put(kind, chosen, body.at("spec"));
    if (this->responses_to_drop > 0)
    {
        this->responses_to_drop -= 1;
        return;
    }
    if (this->responses_to_hold > 0)
    {
        this->responses_to_hold -= 1;
        this->held.push_back({incoming, objects.at(chosen)});
        return;
    }
    answer(client, 200, objects.at(chosen));
}

void store_stand_in::answer_delete(detail::exchange & client,
                                   std::string const & kind,
                                   std::string const & name)
{
    if (this->kinds[kind].count(name) == 0)
    {
        answer(client, 404, json::object());
        return;
    }
    auto const object = this->kinds[kind].at(name);
    this->erase(kind, name);
    answer(client, 200, object);
}

void store_stand_in::answer(detail::exchange & client,
                            unsigned code,
                            json const & body)
{
    detail::response_message message{static_cast<http::status>(code), 11};
    message.body() = body.dump();
    message.keep_alive(true);
    message.prepare_payload();
    client.respond(std::move(message));
}

} // namespace endivehinge::tests
