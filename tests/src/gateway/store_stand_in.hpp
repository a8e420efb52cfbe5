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

/// @brief an in-memory object store of the platform on a loopback port, with
/// fault injection
/// @note thread safety: none; use on the event loop that it is created with
class store_stand_in final : public detail::request_handler
{
public:
    explicit store_stand_in(boost::asio::io_context & loop);

    void handle(std::shared_ptr<detail::exchange> incoming) override;

    /// @brief creates an object or replaces its spec, as an operator would
    void put(std::string const & kind,
             std::string const & name,
             nlohmann::json spec);

    /// @brief deletes an object, as an operator would
    void erase(std::string const & kind, std::string const & name);

    /// @brief the content of an object; null if it does not exist
    [[nodiscard]] nlohmann::json spec(std::string const & kind,
                                      std::string const & name) const;

    /// @brief replaces the status of an object, as another node would
    /// @pre the object exists
    void put_status(std::string const & kind,
                    std::string const & name,
                    nlohmann::json new_status);

    /// @brief the status of an object; null if it has none
    [[nodiscard]] nlohmann::json status_of(std::string const & kind,
                                           std::string const & name) const;

    /// @brief ends all pending watches without events, at the latest revision
    void end_watches_without_events();

    /// @brief closes the connections of all pending watches
    void close_watch_connections();

    /// @brief sends the responses held back by responses_to_hold
    void send_held_responses();

    /// @brief resumes event delivery, starting with the withheld events
    void deliver_withheld_events();

    /// @brief answers watches from revisions before the current one with 410
    void discard_history();

    /// @brief returns to the state after a revision, in the next era
    ///
    /// Discards all later changes, so that their revisions are given out again.
    /// Closes the connections of all pending watches.
    /// @pre to_revision is at most current_revision()
    void restore(std::uint64_t to_revision);

    /// @brief returns to the state of some time ago, in the next era
    void restore_copy_of_age(duration age);

    /// @brief the objects of a kind, as a list returns them
    [[nodiscard]] nlohmann::json list(std::string const & kind) const;

    [[nodiscard]] std::uint64_t current_revision() const;

    /// @brief the number of restores, plus 1
    [[nodiscard]] std::uint64_t current_era() const;

    [[nodiscard]] endpoint address() const;

    /// @brief number of requests received
    [[nodiscard]] std::uint64_t request_count() const;

    /// @brief number of requests received for one kind
    [[nodiscard]] std::uint64_t
    request_count_of(std::string const & kind) const;

    /// @brief number of pages of lists sent for one kind
    [[nodiscard]] std::uint64_t list_count_of(std::string const & kind) const;

    // the statuses that were written, in order
    std::vector<nlohmann::json> status_writes;
    // while not empty, writes of a status with this state are received, but not
    // applied and not answered
    std::string ignored_status;
    std::size_t ignored_writes = 0;
    // number of status writes to apply without ever responding
    int status_responses_to_drop = 0;
    // while set, watches receive no events
    bool withhold_events = false;
    // while set, requests are received but not answered
    bool unresponsive = false;
    // while not 0, every request is answered with this status
    unsigned status = 0;
    // largest number of objects in a page of a list
    std::size_t page_size = 1000;
    // while set, lists fail after their first page
    bool fail_later_pages = false;
    // while not null, the old list of configurations that a request gets which
    // accepts old data
    nlohmann::json stale_configurations;
    // while set, only requests that accept old data are answered
    bool answers_old_data_only = false;
    // while not set, responses do not state the era
    bool states_era = true;
    // number of writes to apply without ever responding
    int responses_to_drop = 0;
    // number of writes to apply whose responses wait for send_held_responses()
    int responses_to_hold = 0;

private:
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
        time_point time;
    };

    struct pending_watch
    {
        std::string kind;
        std::uint64_t after = 0;
        std::weak_ptr<detail::exchange> client;
    };

    void record(std::string const & kind,
                nlohmann::json const & object,
                bool deleted);
    void notify();
    void schedule_watch_timeout(std::weak_ptr<detail::exchange> const & client,
                                std::string const & wait_ms);
    void respond_to_list(detail::exchange & client,
                         std::string const & kind,
                         std::string const & after);
    void respond_to_watch(std::shared_ptr<detail::exchange> const & client,
                          std::string const & kind,
                          std::uint64_t after);
    void respond_to_write(std::shared_ptr<detail::exchange> const & incoming,
                          std::string const & kind,
                          std::string const & name);
    void
    respond_to_status_write(std::shared_ptr<detail::exchange> const & incoming,
                            std::string const & kind,
                            std::string const & name);
    /// @brief responds to a write, unless the response is to be dropped or held
    void
    respond_to_applied_write(std::shared_ptr<detail::exchange> const & incoming,
                             nlohmann::json const & object);
    void respond_to_delete(detail::exchange & client,
                           std::string const & kind,
                           std::string const & name);
    [[nodiscard]] nlohmann::json events_after(std::string const & kind,
                                              std::uint64_t after) const;
    void send_response(detail::exchange & client,
                       unsigned status_code,
                       nlohmann::json const & body) const;
    void send_response(detail::exchange & client,
                       unsigned status_code,
                       nlohmann::json const & body,
                       std::uint64_t stated_era) const;

    struct held_response
    {
        std::shared_ptr<detail::exchange> client;
        nlohmann::json object;
        std::uint64_t era = 0;
    };

    boost::asio::io_context & io;
    detail::http_listener listener;
    std::uint64_t revision = 1;
    std::uint64_t era = 1;
    std::uint64_t history_start = 0;
    std::uint64_t received_requests = 0;
    std::map<std::string, std::uint64_t> received_requests_of;
    std::map<std::string, std::uint64_t> sent_lists_of;
    std::map<std::string, std::map<std::string, nlohmann::json>> kinds;
    std::vector<change> history;
    std::vector<pending_watch> watches;
    std::vector<held_response> held_responses;
};

} // namespace endivehinge::tests

#endif
