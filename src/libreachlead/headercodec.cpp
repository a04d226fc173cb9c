// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include <reachlead/headercodec.h>

#include <algorithm>
#include <array>

#include <boost/beast/http/rfc7230.hpp>

namespace reachlead {

namespace {

namespace http = boost::beast::http;

/// Fields of one connection only. Content-Length is among them, as it is set anew for each hop.
constexpr std::array hopByHop{http::field::connection,
                              http::field::keep_alive,
                              http::field::proxy_connection,
                              http::field::te,
                              http::field::trailer,
                              http::field::transfer_encoding,
                              http::field::upgrade,
                              http::field::content_length,
                              http::field::expect,
                              http::field::proxy_authenticate,
                              http::field::proxy_authorization};

} // namespace

void copyEndToEnd(const Fields &from, Fields *out)
{
    http::token_list listed(from[http::field::connection]);
    for (const auto &field : from) {
        const bool isHopByHop = std::ranges::find(hopByHop, field.name()) != hopByHop.end()
            && field.name() != http::field::unknown;
        if (!isHopByHop && !listed.exists(field.name_string()))
            out->insert(field.name(), field.name_string(), field.value());
    }
}

} // namespace reachlead
