// Copyright Contributors to the reachlead project.
// SPDX-License-Identifier: Apache-2.0

#include "peer/gatewaymessages.h"

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>

#include "peer/archive.h"

namespace reachlead {

namespace {

template <class... Parts> std::string encode(const Parts &...parts)
{
    std::string out;
    FrameWriter archive(&out);
    archive(parts...);
    return out;
}

/// Reads the parts; false with \p reason set when the bytes are not exactly these.
template <class... Parts>
bool decode(std::string_view payload, std::string *reason, Parts &...parts)
{
    try {
        FrameReader archive(payload);
        archive(parts...);
        if (archive.left() == 0)
            return true;
        *reason = "bytes behind the message";
    } catch (const std::exception &e) {
        *reason = e.what();
    }
    return false;
}

} // namespace

std::string encodeBeat(const GatewayBeat &beat)
{
    return encode(beat);
}

std::optional<GatewayBeat> decodeBeat(std::string_view payload, std::string *reason)
{
    GatewayBeat beat;
    return decode(payload, reason, beat) ? std::optional(std::move(beat)) : std::nullopt;
}

std::string encodeAsk(const NewsAsk &ask)
{
    return encode(ask);
}

std::optional<NewsAsk> decodeAsk(std::string_view payload, std::string *reason)
{
    NewsAsk ask;
    return decode(payload, reason, ask) ? std::optional(ask) : std::nullopt;
}

std::string encodeNews(const GatewayNews &news)
{
    return encode(news.config, news.upstreams, news.registryRevision, news.missing);
}

std::optional<GatewayNews> decodeNews(std::string_view payload, std::string *reason)
{
    GatewayNews news;
    if (!decode(payload, reason, news.config, news.upstreams, news.registryRevision, news.missing))
        return std::nullopt;
    return news;
}

} // namespace reachlead
