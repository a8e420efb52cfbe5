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

/// @brief the header fields of a message, in order; names ignore case
class http_headers
{
public:
    /// @brief adds a field after those that are there
    void add(std::string name, std::string value);

    /// @brief replaces every field of that name by one
    void set(std::string name, std::string value);

    /// @brief takes out every field of that name
    void remove(absl::string_view name);

    /// @brief the first field of that name, or null
    [[nodiscard]] std::string const * find(absl::string_view name) const;

    /// @brief all fields, in order
    [[nodiscard]] std::vector<http_header> const & all() const;

private:
    std::vector<http_header> fields;
};

/// @brief a request as HTTP carries it
struct http_request
{
    std::string method;
    std::string path; // with the query, as sent
    http_headers headers;
    std::string body;
};

/// @brief a response as HTTP carries it
struct http_response
{
    int status = 0;
    http_headers headers;
    std::string body;
};

} // namespace endivehinge

#endif
