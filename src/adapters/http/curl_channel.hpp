#ifndef ENDIVEHINGE_ADAPTERS_HTTP_CURL_CHANNEL_HPP
#define ENDIVEHINGE_ADAPTERS_HTTP_CURL_CHANNEL_HPP

#include <curl/curl.h> // curl_*

#include <memory> // unique_ptr

namespace endivehinge::detail
{

/// @brief ends a multi handle
struct multi_deleter
{
    void operator()(CURLM * handle) const
    {
        curl_multi_cleanup(handle);
    }
};

/// @brief ends an easy handle
struct easy_deleter
{
    void operator()(CURL * handle) const
    {
        curl_easy_cleanup(handle);
    }
};

/// @brief ends a list of header lines
struct list_deleter
{
    void operator()(curl_slist * list) const
    {
        curl_slist_free_all(list);
    }
};

using multi_handle = std::unique_ptr<CURLM, multi_deleter>;
using easy_handle = std::unique_ptr<CURL, easy_deleter>;
using header_list = std::unique_ptr<curl_slist, list_deleter>;

/// @brief one exchange at a time; keeps its connection between exchanges
struct channel
{
    channel()
        : multi(curl_multi_init())
        , easy(curl_easy_init())
    {
    }

    multi_handle multi;
    easy_handle easy;
};

} // namespace endivehinge::detail

#endif
