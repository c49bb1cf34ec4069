// The HTTP server, on cxxtools.
#include "mimosacroft/net/http_server.hpp"

#include "http_convert.hpp"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <exception>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <thread>

namespace mimosacroft::net
{

using wire::http_reply;
using wire::http_request;

std::string query_parameter(const std::string& query, const std::string& name)
{
    const cxxtools::QueryParams params(query);
    return params.has(name) ? params.param(name) : std::string();
}

namespace
{

std::string reason_of(unsigned status)
{
    if (status < 300)
        return "OK";
    return status < 500 ? "Refused" : "Failed";
}

struct service_context
{
    http_server::handler on_request;
    std::size_t max_body_bytes = 0;
};

class responder : public cxxtools::http::Responder
{
public:
    responder(cxxtools::http::Service& service, const service_context& context)
        : cxxtools::http::Responder(service), context_(context)
    {
    }

    void beginRequest(cxxtools::net::TcpSocket&, std::istream&,
                      cxxtools::http::Request& request) override
    {
        body_.clear();
        left_ = request.header().contentLength();
        overflow_ = false;
    }

    std::size_t readBody(std::istream& in) override
    {
        std::size_t n = 0;
        // What follows the body belongs to the next request.
        while (left_ > 0 && in.rdbuf()->in_avail() > 0)
        {
            --left_;
            const char c = static_cast<char>(in.get());
            ++n;
            // The rest of a body that is too large is read and dropped, so that
            // the caller gets the refusal in place of a broken connection.
            if (body_.size() < context_.max_body_bytes)
                body_ += c;
            else
                overflow_ = true;
        }
        return n;
    }

    void reply(std::ostream& out, cxxtools::http::Request& request,
               cxxtools::http::Reply& reply) override
    {
        const http_reply answer =
            overflow_ ? too_large() : context_.on_request(convert(request));
        reply.httpReturn(answer.status, reason_of(answer.status));
        for (const auto& [name, value] : answer.headers)
            reply.setHeader(name.c_str(), value.c_str());
        out << answer.body;
    }

    void replyError(std::ostream& out, cxxtools::http::Request&,
                    cxxtools::http::Reply& reply,
                    const std::exception& ex) override
    {
        reply.httpReturn(400, "Refused");
        reply.setHeader("Content-Type", "text/plain");
        out << ex.what();
    }

private:
    http_reply too_large() const
    {
        http_reply out;
        out.status = wire::status_too_large;
        out.headers["content-type"] = "application/json";
        out.body = R"({"outcome":"rejected","error":"body is larger than )" +
                   std::to_string(context_.max_body_bytes) + R"( bytes"})";
        return out;
    }

    http_request convert(cxxtools::http::Request& request) const
    {
        http_request out;
        out.method = request.method();
        out.path = request.url();
        out.query = request.qparams();
        out.body = body_;
        const auto& header = request.header();
        for (auto it = header.begin(); it != header.end(); ++it)
            out.headers[lower_case(it->first)] = it->second;
        return out;
    }

    const service_context& context_;
    std::string body_;
    std::size_t left_ = 0; ///< bytes of the body that are still to come
    bool overflow_ = false;
};

class service : public cxxtools::http::Service
{
public:
    explicit service(service_context context) : context_(std::move(context)) {}

protected:
    cxxtools::http::Responder*
    createResponder(const cxxtools::http::Request&) override
    {
        return new responder(*this, context_);
    }

    void releaseResponder(cxxtools::http::Responder* it) override { delete it; }

private:
    service_context context_;
};

} // namespace

struct http_server::impl
{
    cxxtools::EventLoop events;
    service all;
    cxxtools::http::Server server;
    std::thread thread;

    impl(const http_server_options& options, handler on_request)
        : all({std::move(on_request), options.max_body_bytes}),
          server(events, options.address, options.port)
    {
        server.minThreads(4);
        server.maxThreads(options.max_threads);
        server.addService(cxxtools::Regex("."), all);
    }
};

http_server::http_server(const http_server_options& options, handler on_request)
{
    try
    {
        impl_ = std::make_unique<impl>(options, std::move(on_request));
    }
    catch (const std::exception& ex)
    {
        throw std::runtime_error("cannot listen on " + options.address + ":" +
                                 std::to_string(options.port) + ": " +
                                 ex.what());
    }
    impl_->thread = std::thread([this] { impl_->events.run(); });
}

http_server::~http_server()
{
    impl_->events.exit();
    impl_->thread.join();
}

} // namespace mimosacroft::net
