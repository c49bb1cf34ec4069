// A TCP proxy on loopback that harms the connections through it.
#include "proxy.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

namespace mimosacroft::tests
{

namespace
{

using http::error_code;
using http::tcp;

constexpr base::milliseconds delay{150};
constexpr base::milliseconds repeat_delay{4};
constexpr std::size_t buffer_size = 16384;

} // namespace

struct proxy::impl : std::enable_shared_from_this<proxy::impl>
{
    // One connection through the proxy.
    struct pair : std::enable_shared_from_this<pair>
    {
        pair(http::asio::io_context& io, tcp::socket from)
            : near(std::move(from)), far(io)
        {
        }

        tcp::socket near;
        tcp::socket far;
        bool lost = false; ///< bytes were lost: nothing more may pass
    };
    using pair_ptr = std::shared_ptr<pair>;

    impl(http::asio::io_context& i, const tcp::endpoint& at,
         const tcp::endpoint& to)
        : io(i), acceptor(i, at), target(to)
    {
    }

    void accept();
    void open(tcp::socket from);
    void pump(const pair_ptr& it, bool back);
    void pass(const pair_ptr& it, bool back, std::string bytes);
    void write(const pair_ptr& it, bool back, std::string bytes);
    void repeat_later(const pair_ptr& it, std::string bytes);
    static void end(const pair_ptr& it, bool reset);
    void end_all();

    http::asio::io_context& io;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    link_mode mode = link_mode::passes;
    std::vector<std::weak_ptr<pair>> pairs;
};

void proxy::impl::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](const error_code& ec, tcp::socket from)
        {
            if (!self->acceptor.is_open())
                return;
            if (!ec)
                self->open(std::move(from));
            self->accept();
        });
}

void proxy::impl::open(tcp::socket from)
{
    const auto it = std::make_shared<pair>(io, std::move(from));
    if (mode == link_mode::resets)
    {
        end(it, true);
        return;
    }
    std::erase_if(pairs, [](const auto& old) { return old.expired(); });
    pairs.push_back(it);
    it->far.async_connect(target,
                          [self = shared_from_this(), it](const error_code& ec)
                          {
                              if (ec)
                              {
                                  end(it, true);
                                  return;
                              }
                              self->pump(it, false);
                              self->pump(it, true);
                          });
}

void proxy::impl::pump(const pair_ptr& it, bool back)
{
    const auto buf = std::make_shared<std::array<char, buffer_size>>();
    auto& from = back ? it->far : it->near;
    from.async_read_some(http::asio::buffer(*buf),
                         [self = shared_from_this(), it, back,
                          buf](const error_code& ec, std::size_t n)
                         {
                             if (ec)
                             {
                                 end(it, false);
                                 return;
                             }
                             self->pass(it, back, std::string(buf->data(), n));
                         });
}

void proxy::impl::pass(const pair_ptr& it, bool back, std::string bytes)
{
    const bool loses =
        mode == link_mode::is_silent || (mode == link_mode::loses_back && back);
    // What a connection has lost stays lost, also when the link is well again.
    it->lost = it->lost || loses;
    if (it->lost)
    {
        pump(it, back);
        return;
    }
    if (mode == link_mode::corrupts && back)
    {
        bytes.resize(bytes.size() / 2);
        error_code ignored;
        std::ignore = it->near.write_some(http::asio::buffer(bytes), ignored);
        end(it, false);
        return;
    }
    if (mode == link_mode::repeats && back)
        repeat_later(it, bytes);
    if (mode != link_mode::delays)
    {
        write(it, back, std::move(bytes));
        return;
    }
    const auto timer = std::make_shared<http::asio::steady_timer>(io, delay);
    timer->async_wait([self = shared_from_this(), it, back, timer,
                       late = std::move(bytes)](const error_code&)
                      { self->write(it, back, late); });
}

void proxy::impl::repeat_later(const pair_ptr& it, std::string bytes)
{
    const auto timer =
        std::make_shared<http::asio::steady_timer>(io, repeat_delay);
    timer->async_wait(
        [it, timer, copy = std::move(bytes)](const error_code&)
        {
            // A connection that is gone gets no copy.
            error_code ignored;
            std::ignore =
                it->near.write_some(http::asio::buffer(copy), ignored);
        });
}

void proxy::impl::write(const pair_ptr& it, bool back, std::string bytes)
{
    const auto kept = std::make_shared<std::string>(std::move(bytes));
    http::asio::async_write(back ? it->near : it->far,
                            http::asio::buffer(*kept),
                            [self = shared_from_this(), it, back,
                             kept](const error_code& ec, std::size_t)
                            {
                                if (ec)
                                    end(it, false);
                                else
                                    self->pump(it, back);
                            });
}

void proxy::impl::end(const pair_ptr& it, bool reset)
{
    if (reset && it->near.is_open())
    {
        error_code ignored;
        std::ignore = it->near.set_option(
            http::asio::socket_base::linger(true, 0), ignored);
    }
    http::close(it->near);
    http::close(it->far);
}

void proxy::impl::end_all()
{
    for (const auto& weak : pairs)
        if (const auto it = weak.lock())
            end(it, true);
    pairs.clear();
}

proxy::proxy(http::asio::io_context& io, const tcp::endpoint& at,
             const tcp::endpoint& target)
    : impl_(std::make_shared<impl>(io, at, target))
{
    impl_->accept();
}

proxy::~proxy()
{
    http::close(impl_->acceptor);
    impl_->end_all();
}

void proxy::set_mode(link_mode mode)
{
    impl_->mode = mode;
    if (mode == link_mode::resets)
        impl_->end_all();
}

} // namespace mimosacroft::tests
