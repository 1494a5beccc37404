#pragma once

// Boost.Asio 1.74 uses std::exchange in its coroutine header without including <utility>.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace boragepitch::relay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

} // namespace boragepitch::relay
