#ifndef ENDIVEHINGE_TESTS_GATEWAY_STORE_STAND_IN_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_STORE_STAND_IN_HPP

#include <cstdint> // uint64_t
#include <map>     // map
#include <memory>  // shared_ptr
#include <string>  // string
#include <vector>  // vector

#include <boost/asio/io_context.hpp> // io_context
#include <nlohmann/json.hpp>         // json

#include <endivehinge/detail/gateway/http_listener.hpp>

namespace endivehinge::tests
{

/// @brief the platform's store on a port of this machine, with its faults
class store_stand_in final : public detail::request_handler
{
public:
    explicit store_stand_in(boost::asio::io_context & loop);

    void handle(std::shared_ptr<detail::exchange> incoming) override;

    /// @brief writes an object as the operator does
    void put(std::string const & kind,
             std::string const & name,
             nlohmann::json spec);

    /// @brief deletes an object as the operator does
    void erase(std::string const & kind, std::string const & name);

    /// @brief the content of an object; null where there is none
    [[nodiscard]] nlohmann::json spec(std::string const & kind,
                                      std::string const & name) const;

    /// @brief ends all waiting watches without news, at the newest revision
    void end_watches_without_events();

    /// @brief closes the connections of all waiting watches
    void close_watch_connections();

    /// @brief answers the writes whose answers were held back
    void send_held_responses();

    /// @brief watches hear again, first of what was withheld
    void deliver_withheld_events();

    /// @brief watches from earlier revisions are answered 410
    void discard_history();

    [[nodiscard]] endpoint address() const;

    /// @brief calls so far
    [[nodiscard]] std::uint64_t request_count() const;

    // watches hear nothing while this is set
    bool withhold_events = false;
    // calls get no response while this is set
    bool unresponsive = false;
    // calls get this status while it is not 0
    unsigned status = 0;
    // so many writes are done and not answered
    int responses_to_drop = 0;
    // so many writes are done and answered by send_held_responses
    int responses_to_hold = 0;

private:
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
    };

    struct waiting_watch
    {
        std::string kind;
        std::uint64_t after = 0;
        std::weak_ptr<detail::exchange> client;
    };

    void record(std::string const & kind,
                nlohmann::json const & object,
                bool deleted);
    void notify();
    void end_watch_later(std::weak_ptr<detail::exchange> const & client,
                         std::string const & wait_ms);
    void answer_list(detail::exchange & client, std::string const & kind);
    void answer_watch(std::shared_ptr<detail::exchange> const & client,
                      std::string const & kind,
                      std::uint64_t after);
    void answer_write(std::shared_ptr<detail::exchange> const & incoming,
                      std::string const & kind,
                      std::string const & name);
    void answer_delete(detail::exchange & client,
                       std::string const & kind,
                       std::string const & name);
    [[nodiscard]] nlohmann::json events_after(std::string const & kind,
                                              std::uint64_t after) const;
    static void answer(detail::exchange & client,
                       unsigned code,
                       nlohmann::json const & body);

    struct held_answer
    {
        std::shared_ptr<detail::exchange> client;
        nlohmann::json object;
    };

    boost::asio::io_context & io;
    detail::http_listener listener;
    std::uint64_t revision = 1;
    std::uint64_t history_begins = 0;
    std::uint64_t call_count = 0;
    std::map<std::string, std::map<std::string, nlohmann::json>> kinds;
    std::vector<change> history;
    std::vector<waiting_watch> watches;
    std::vector<held_answer> held;
};

} // namespace endivehinge::tests

#endif
