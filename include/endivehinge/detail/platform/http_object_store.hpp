#ifndef ENDIVEHINGE_DETAIL_PLATFORM_HTTP_OBJECT_STORE_HPP
#define ENDIVEHINGE_DETAIL_PLATFORM_HTTP_OBJECT_STORE_HPP

#include <endivehinge/coordination/object_store.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/detail/http/http_client.hpp>

namespace endivehinge::detail
{

/// @brief the platform's object API over HTTP and JSON
class http_object_store final : public object_store
{
public:
    /// @param address where the platform listens
    /// @param client sends the HTTP requests; must outlive this object
    /// @param call_timeout for each call that does not wait for changes
    http_object_store(endpoint address,
                      http_client & client,
                      duration call_timeout);

    [[nodiscard]] std::optional<stored_object> get(std::string const & kind,
                                                   std::string const & name,
                                                   failure & reason) override;

    [[nodiscard]] std::optional<std::vector<stored_object>>
    list(std::string const & kind, failure & reason) override;

    [[nodiscard]] std::optional<object_version> put(std::string const & kind,
                                                    std::string const & name,
                                                    object_version expected,
                                                    std::string const & value,
                                                    failure & reason) override;

    [[nodiscard]] std::optional<object_version>
    remove(std::string const & kind,
           std::string const & name,
           object_version expected,
           failure & reason) override;

    [[nodiscard]] std::optional<watch_result> watch(std::string const & kind,
                                                    object_version after,
                                                    duration patience,
                                                    failure & reason) override;

private:
    std::optional<std::string> call(std::string const & method,
                                    std::string const & path,
                                    std::string const & body,
                                    duration timeout,
                                    failure & reason);

    endpoint address;
    http_client & client;
    duration call_timeout;
};

} // namespace endivehinge::detail

#endif
