#ifndef ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_ADAPTERS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_ADAPTERS_HPP

#include <memory> // unique_ptr

#include <endivehinge/detail/gateway/message_adapter.hpp>
#include <endivehinge/detail/gateway/report_adapter.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>

namespace endivehinge::detail
{

/// @brief adapters to the messages, reports and store of the platform
struct gateway_adapters
{
    std::unique_ptr<message_adapter> messages;
    std::unique_ptr<report_adapter> reports;
    std::unique_ptr<store_adapter> store;
};

} // namespace endivehinge::detail

#endif
