#include <atomic> // atomic
#include <thread> // thread

#include "crowd_test.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;

constexpr std::size_t largest_body_mebibytes = 64;

/// @brief the smallest memory of a machine in use, and the largest request
crowd_limits smallest_machine()
{
    crowd_limits machine;
    machine.memory_mebibytes = 160;
    machine.body_bytes = largest_body_mebibytes * mebibyte;
    return machine;
}

// the head is as long as the limit allows
std::string longest_head(std::string const & framing)
{
    std::string const start =
        "PUT /safe/upload HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
        "largest\r\nDeadline-Ms: 60000\r\nConnection: close\r\n" +
        framing + "X-Long: ";
    std::string const end = "\r\n\r\n";
    return start + std::string(16384 - start.size() - end.size(), 'x') + end;
}

class largest_request : public crowd_test
{
protected:
    void send(std::string const & request, milliseconds pause = {})
    {
        this->start(smallest_machine());
        std::atomic<bool> done{false};
        std::thread observer(
            [this, &done]
            {
                while (!done)
                {
                    this->observe();
                    std::this_thread::sleep_for(milliseconds(5));
                }
            });
        auto const reply = this->fleet->exchange(request, pause);
        done = true;
        observer.join();
        EXPECT_EQ(reply.substr(0, 13), "HTTP/1.1 200 ");
        EXPECT_EQ(reply.substr(reply.find("\r\n\r\n") + 4),
                  std::to_string(largest_body_mebibytes * mebibyte));
        this->check();
    }

    [[nodiscard]] std::string request_with_length() const
    {
        return longest_head("Content-Length: " +
                            std::to_string(this->body.size()) + "\r\n") +
               this->body;
    }

    [[nodiscard]] std::string request_in_chunks() const
    {
        std::string request = longest_head("Transfer-Encoding: chunked\r\n");
        std::string const chunk =
            "10000\r\n" + this->body.substr(0, 65536) + "\r\n";
        for (std::size_t i = 0; i < this->body.size() / 65536; ++i)
        {
            request += chunk;
        }
        return request + "0\r\nX-Trailer: " + std::string(16000, 't') +
               "\r\n\r\n";
    }

    std::string const body =
        std::string(largest_body_mebibytes * mebibyte, 'x');
};

TEST_F(largest_request, with_a_length)
{
    this->send(this->request_with_length());
}

TEST_F(largest_request, in_chunks_with_trailers)
{
    this->send(this->request_in_chunks());
}

TEST_F(largest_request, slowly_with_a_length)
{
    this->send(this->request_with_length(), milliseconds(100));
}

TEST_F(largest_request, slowly_in_chunks_with_trailers)
{
    this->send(this->request_in_chunks(), milliseconds(100));
}

} // namespace
} // namespace endivehinge::tests
