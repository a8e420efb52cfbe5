#include "byte_mutator.hpp"

#include <algorithm> // max, min
#include <array>     // array

namespace endivehinge::tests
{
namespace
{

constexpr std::size_t max_changes = 4;
constexpr std::size_t max_range = 64;
// above each limit on the header of a message
constexpr std::size_t long_line = 100'000;

std::array<std::string, 18> const & parts()
{
    static std::array<std::string, 18> const all{
        "\r\n",
        "\r\n\r\n",
        "\n",
        ":",
        std::string(1, '\0'),
        "\xff\xfe",
        "Content-Length: 99999999999\r\n",
        "Content-Length: 18446744073709551615\r\n",
        "Content-Length: -1\r\n",
        "Transfer-Encoding: chunked\r\n",
        "ffffffffffffffff\r\n",
        "5;" + std::string(long_line, 'x'),
        "0\r\n" + std::string(long_line, 'x'),
        "X: " + std::string(long_line, 'x') + "\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\n",
        std::string(long_line, '['),
        "-1e999"};
    return all;
}

} // namespace

byte_mutator::byte_mutator(std::uint32_t seed)
    : random(seed)
{
}

std::string byte_mutator::mutate(std::string message)
{
    auto const changes = 1 + this->below(max_changes);
    for (std::size_t i = 0; i < changes; ++i)
    {
        this->change(message);
    }
    return message;
}

bool byte_mutator::happens(double probability)
{
    return std::bernoulli_distribution(probability)(this->random);
}

std::size_t byte_mutator::below(std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0,
                                                      limit - 1)(this->random);
}

void byte_mutator::change(std::string & message)
{
    auto const position = this->below(message.size() + 1);
    auto const length =
        std::min(1 + this->below(max_range), message.size() - position);
    switch (this->below(5))
    {
    case 0:
        if (position < message.size())
        {
            message[position] = static_cast<char>(this->below(256));
        }
        break;
    case 1:
        message.erase(position, length);
        break;
    case 2:
        message.insert(position, message.substr(position, length));
        break;
    case 3:
        message.resize(position);
        break;
    default:
        message.insert(position, parts()[this->below(parts().size())]);
        break;
    }
}

} // namespace endivehinge::tests
