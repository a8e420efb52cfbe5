#include <endivehinge/core/endpoint.hpp>

#include <arpa/inet.h> // inet_pton

#include <absl/strings/numbers.h> // SimpleAtoi
#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge
{
namespace
{

constexpr std::uint32_t max_port = 65535;

bool is_ip_address(std::string const & host)
{
    in6_addr buffer{};
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1 ||
           inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
}

std::string without_brackets(std::string host)
{
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
    {
        return host.substr(1, host.size() - 2);
    }
    return host;
}

} // namespace

std::string endpoint::to_string() const
{
    if (this->host.find(':') != std::string::npos)
    {
        return absl::StrCat("[", this->host, "]:", this->port);
    }
    return absl::StrCat(this->host, ":", this->port);
}

std::optional<endpoint> endpoint::parse(std::string const & text,
                                        failure & reason)
{
    auto const colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos ||
        !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > max_port)
    {
        reason = {failure_id::invalid_argument,
                  "parse address",
                  {},
                  absl::StrCat("'", text, "' is not of the form IP:PORT")};
        return std::nullopt;
    }
    std::string host = without_brackets(text.substr(0, colon));
    if (!is_ip_address(host))
    {
        reason = {failure_id::invalid_argument,
                  "parse address",
                  {},
                  absl::StrCat("'", host, "' is not an IP address")};
        return std::nullopt;
    }
    return endpoint{std::move(host), static_cast<std::uint16_t>(port)};
}

} // namespace endivehinge
