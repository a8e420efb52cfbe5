#include <endivehinge/detail/http/http_call.hpp>

#include <sys/socket.h> // recv

#include <algorithm> // clamp
#include <utility>   // move

#include "connection_pool.hpp"
#include "curl_transfer.hpp"

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;

constexpr int longest_poll_ms = 1000;
constexpr int hang_up_check_ms = 20;

bool has_hung_up(int socket)
{
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

int to_poll_ms(duration left)
{
    auto const whole =
        std::chrono::duration_cast<milliseconds>(left).count() + 1;
    return static_cast<int>(
        std::clamp<std::int64_t>(whole, 0, longest_poll_ms));
}

} // namespace

class http_call::exchange_state
{
public:
    exchange_state(std::shared_ptr<connection_pool> shared_pool,
                   endpoint const & where,
                   http_request const & message,
                   http_exchange_options const & given)
        : pool(std::move(shared_pool))
        , peer(where)
        , request(message)
        , options(given)
        , used(given.fresh_connection
                   ? std::make_unique<channel>()
                   : this->pool->take(where, given.longest_idle))
        , headers(make_header_list(this->request))
        , watching(given.watched_socket >= 0)
    {
        CURL * const easy = this->used->easy.get();
        prepare_transfer(easy,
                         this->peer,
                         this->request,
                         this->options,
                         this->pool->limits,
                         this->transfer);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, this->headers.get());
        curl_multi_add_handle(this->used->multi.get(), easy);
        this->step();
    }

    ~exchange_state()
    {
        curl_multi_remove_handle(this->used->multi.get(),
                                 this->used->easy.get());
        bool const whole = this->code.has_value() && *this->code == CURLE_OK;
        if (whole && !this->options.fresh_connection)
        {
            this->pool->give_back(this->peer, std::move(this->used));
        }
    }

    exchange_state(exchange_state const &) = delete;
    exchange_state & operator=(exchange_state const &) = delete;

    bool wait(duration patience)
    {
        time_point const end = machine_clock().now() + patience;
        while (!this->is_done())
        {
            duration const left = end - machine_clock().now();
            if (left <= duration(0))
            {
                return false;
            }
            this->poll(to_poll_ms(left));
            this->step();
        }
        return true;
    }

    bool is_done() const
    {
        return this->hung_up || this->code.has_value();
    }

    bool was_sent() const
    {
        return this->transfer.sends > 0;
    }

    std::optional<http_response> take(failure & reason)
    {
        if (this->code.has_value() && *this->code == CURLE_OK)
        {
            long status = 0;
            curl_easy_getinfo(
                this->used->easy.get(), CURLINFO_RESPONSE_CODE, &status);
            this->transfer.response.status = static_cast<int>(status);
            if (is_whole(this->transfer, this->request))
            {
                return std::move(this->transfer.response);
            }
        }
        reason = this->describe_failure();
        return std::nullopt;
    }

private:
    failure describe_failure() const
    {
        failure reason;
        reason.step = "exchange";
        reason.peer = this->peer.to_string();
        if (this->hung_up)
        {
            reason.id = failure_id::cancelled;
            reason.detail = "the caller hung up";
            return reason;
        }
        if (this->code.has_value() && *this->code == CURLE_OK)
        {
            reason.id = failure_id::connection_lost;
            reason.detail = "the response does not say how long it is";
            return reason;
        }
        CURLcode const ended = this->code.value_or(CURLE_OPERATION_TIMEDOUT);
        reason.id = classify_transfer(ended, this->transfer);
        reason.detail = curl_easy_strerror(ended);
        return reason;
    }

    void step()
    {
        int running = 0;
        CURLM * const multi = this->used->multi.get();
        curl_multi_perform(multi, &running);
        if (running > 0)
        {
            return;
        }
        int queued = 0;
        CURLMsg const * const message = curl_multi_info_read(multi, &queued);
        this->code =
            message == nullptr ? CURLE_FAILED_INIT : message->data.result;
    }

    void poll(int patience_ms)
    {
        int const caller = this->options.watched_socket;
        curl_waitfd watched{caller, CURL_WAIT_POLLIN, 0};
        // a caller that sends more is readable without having hung up; from
        // then on it is asked at intervals
        bool const asking = caller >= 0 && !this->watching;
        curl_multi_poll(this->used->multi.get(),
                        this->watching ? &watched : nullptr,
                        this->watching ? 1U : 0U,
                        asking ? std::min(patience_ms, hang_up_check_ms)
                               : patience_ms,
                        nullptr);
        if (asking || watched.revents != 0)
        {
            this->watching = false;
            this->hung_up = has_hung_up(caller);
        }
    }

    std::shared_ptr<connection_pool> pool;
    endpoint peer;
    http_request request;
    http_exchange_options options;
    std::unique_ptr<channel> used;
    header_list headers;
    curl_transfer transfer;
    std::optional<CURLcode> code;
    bool watching;
    bool hung_up = false;
};

http_call::http_call(std::shared_ptr<connection_pool> pool,
                     endpoint const & peer,
                     http_request const & request,
                     http_exchange_options const & options)
    : state(std::make_unique<exchange_state>(
          std::move(pool), peer, request, options))
{
}

http_call::http_call(http_call &&) noexcept = default;
http_call & http_call::operator=(http_call &&) noexcept = default;
http_call::~http_call() = default;

bool http_call::wait(duration patience)
{
    return this->state->wait(patience);
}

bool http_call::was_sent() const
{
    return this->state->was_sent();
}

std::optional<http_response> http_call::take(failure & reason)
{
    return this->state->take(reason);
}

} // namespace endivehinge::detail
