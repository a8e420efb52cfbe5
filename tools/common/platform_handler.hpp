#ifndef ENDIVEHINGE_TOOLS_COMMON_PLATFORM_HANDLER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_PLATFORM_HANDLER_HPP

#include <common/object_table.hpp>
#include <endivehinge/detail/http/http_handler.hpp>

namespace endivehinge::tools
{

/// @brief the platform's object API over HTTP and JSON
class platform_handler final : public detail::http_handler
{
public:
    /// @param objects outlives the handler
    explicit platform_handler(object_table & objects);

    [[nodiscard]] http_response handle(http_request message,
                                       detail::http_connection) override;

private:
    http_response list(std::string const & kind);
    http_response access(http_request const & message,
                         std::string const & kind,
                         std::string const & name);
    http_response watch(std::string const & kind, std::string const & path);

    object_table & objects;
};

} // namespace endivehinge::tools

#endif
