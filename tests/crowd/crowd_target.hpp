#ifndef ENDIVEHINGE_TESTS_CROWD_CROWD_TARGET_HPP
#define ENDIVEHINGE_TESTS_CROWD_CROWD_TARGET_HPP

#include <memory> // shared_ptr
#include <string> // string

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/http_listener.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::tests
{

/// @brief a target that answers each request at once and reports to its node
/// once a second
/// @note thread safety: none; used on the event loop only
class crowd_target final : public detail::request_handler
{
public:
    // length of the answer to a path that ends with `/large`, in bytes
    static constexpr std::size_t large_answer_bytes = 400000;

    /// @param reports the report listener of its node
    crowd_target(boost::asio::io_context & loop,
                 std::string own_id,
                 endpoint const & reports);

    /// @brief answers 200; the body states the length of the request's body
    void handle(std::shared_ptr<detail::exchange> incoming) override;

    [[nodiscard]] endpoint address() const;

private:
    void report();

    std::string id;
    detail::http_listener listener;
    detail::upstream node;
    boost::asio::steady_timer timer;
    int sequence = 0;
};

} // namespace endivehinge::tests

#endif
