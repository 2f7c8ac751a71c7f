#pragma once

#include "Core/Clock.h"
#include "HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <exception>
#include <memory>
#include <utility>

namespace firefly::standins {

/// Runs \a action after \a duration, or immediately when it is not positive.
/// When a delayed \a action throws, \a responder replies with status 400.
template <typename Action>
void delay(asio::io_context &context, Duration duration, const Responder &responder, Action action)
{
    if (duration <= Duration::zero()) {
        action();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context, duration);
    timer->async_wait([timer, responder, action = std::move(action)](asio::error_code ec) mutable {
        if (ec) {
            return;
        }
        try {
            action();
        } catch (const std::exception &e) {
            responder.reply(400, {{"error", e.what()}});
        }
    });
}

} // namespace firefly::standins
