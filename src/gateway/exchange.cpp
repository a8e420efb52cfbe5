#include <endivehinge/detail/gateway/exchange.hpp>

#include <utility> // exchange, move

#include <endivehinge/detail/gateway/server_connection.hpp>

namespace endivehinge::detail
{

exchange::exchange(std::weak_ptr<server_connection> owner,
                   request_message message,
                   time_point arrival_time)
    : request(std::move(message))
    , arrival(arrival_time)
    , connection(std::move(owner))
{
}

void exchange::respond(response_message message)
{
    if (this->is_finished())
    {
        return;
    }
    this->response = std::move(message);
    // frees the memory while the client receives the response
    this->request.body() = {};
    this->cancel_action = nullptr;
    this->stop_review_action = nullptr;
    if (auto const owner = this->connection.lock())
    {
        owner->write();
    }
}

void exchange::on_cancel(std::function<void()> action)
{
    this->cancel_action = std::move(action);
}

void exchange::on_stop_review(std::function<void()> action)
{
    this->stop_review_action = std::move(action);
}

void exchange::review_stop()
{
    // responding removes the action
    if (auto const action = this->stop_review_action; action)
    {
        action();
    }
}

void exchange::on_response_lost(std::function<void()> action)
{
    this->response_lost_action = std::move(action);
}

void exchange::cancel()
{
    if (this->response)
    {
        if (auto const action =
                std::exchange(this->response_lost_action, nullptr))
        {
            action();
        }
        return;
    }
    if (this->cancelled)
    {
        return;
    }
    this->cancelled = true;
    this->stop_review_action = nullptr;
    if (auto const action = std::move(this->cancel_action))
    {
        action();
    }
}

bool exchange::is_finished() const
{
    return this->cancelled || this->response.has_value();
}

} // namespace endivehinge::detail
