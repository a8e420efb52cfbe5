#ifndef ENDIVEHINGE_CORE_HTTP_MESSAGE_HPP
#define ENDIVEHINGE_CORE_HTTP_MESSAGE_HPP

#include <string> // string
#include <vector> // vector

#include <absl/strings/string_view.h> // string_view

namespace endivehinge
{

/// @brief one header field of a message
struct http_header
{
    std::string name;
    std::string value;
};

/// @brief the header fields of a message, in order; names are
///        case-insensitive
class http_headers
{
public:
    /// @brief appends a field
    void add(std::string name, std::string value);

    /// @brief replaces all fields of that name by a single one
    void set(std::string name, std::string value);

    /// @brief removes all fields of that name
    void remove(absl::string_view name);

    /// @brief the value of the first field of that name, or null
    [[nodiscard]] std::string const * find(absl::string_view name) const;

    /// @brief all fields, in order
    [[nodiscard]] std::vector<http_header> const & all() const;

private:
    std::vector<http_header> fields;
};

/// @brief an HTTP request
struct http_request
{
    std::string method;
    std::string path; // including the query, as sent
    http_headers headers;
    std::string body;
};

/// @brief an HTTP response
struct http_response
{
    int status = 0;
    http_headers headers;
    std::string body;
};

} // namespace endivehinge

#endif
