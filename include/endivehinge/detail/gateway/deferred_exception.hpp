#ifndef ENDIVEHINGE_DETAIL_GATEWAY_DEFERRED_EXCEPTION_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_DEFERRED_EXCEPTION_HPP

#include <exception> // current_exception, rethrow_exception

#include <boost/asio/post.hpp> // post

namespace endivehinge::detail
{

/// @brief throws the exception that is being handled again from the event loop,
/// so that its owner logs it while the caller ends the call concerned
/// @pre called in a catch clause
/// @note thread safety: none; used on the event loop only
template <class Executor>
void rethrow_from_loop(Executor const & executor)
{
    boost::asio::post(executor,
                      [error = std::current_exception()]
                      {
                          std::rethrow_exception(error);
                      });
}

} // namespace endivehinge::detail

#endif
