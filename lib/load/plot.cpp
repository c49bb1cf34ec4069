// Draws latency curves as SVG.
#include "mimosacroft/load/plot.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace mimosacroft::load
{

namespace
{

// All lengths in pixels.
constexpr double width = 900;
constexpr double height = 520;
constexpr double left = 70;
constexpr double right = 240; ///< room for the legend
constexpr double top = 20;
constexpr double bottom = 50;
constexpr double line_height = 18;

constexpr double nines_shown = 3; ///< the axis ends at 0.999

constexpr std::array<const char*, 8> colours = {"#1f77b4", "#d62728", "#2ca02c",
                                                "#9467bd", "#ff7f0e", "#8c564b",
                                                "#e377c2", "#7f7f7f"};

struct axis_mark
{
    double share;
    const char* label;
};

constexpr std::array<axis_mark, 4> share_marks = {
    {{0.0, "0"}, {0.9, "90%"}, {0.99, "99%"}, {0.999, "99.9%"}}};

std::string number(double it)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.1f", it);
    return buf.data();
}

std::string text(double x, double y, const std::string& anchor,
                 const std::string& what)
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) +
           "\" text-anchor=\"" + anchor + "\">" + what + "</text>\n";
}

std::string line(double x1, double y1, double x2, double y2)
{
    return "<line x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" +
           number(x2) + "\" y2=\"" + number(y2) + "\" stroke=\"#ccc\"/>\n";
}

std::string escaped(const std::string& in)
{
    std::string out;
    for (const char c : in)
        out += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
    return out;
}

/// Maps figures to places on the drawing.
class scale
{
public:
    explicit scale(const std::vector<curve>& curves)
    {
        for (const auto& it : curves)
            for (const auto& point : it.points)
            {
                least_ = std::min(least_, std::max(point.ms, 0.1));
                most_ = std::max(most_, point.ms);
            }
        least_ = std::pow(10, std::floor(std::log10(std::min(least_, most_))));
        most_ = std::pow(10, std::ceil(std::log10(most_)));
    }

    double x(double share) const
    {
        const auto nines = -std::log10(std::max(1 - share, 1e-9));
        return left +
               std::min(nines / nines_shown, 1.0) * (width - left - right);
    }

    double y(double ms) const
    {
        const auto part = std::log10(std::max(ms, least_) / least_) /
                          std::log10(most_ / least_);
        return height - bottom - part * (height - top - bottom);
    }

    double least() const { return least_; }
    double most() const { return most_; }

private:
    double least_ = 1000; ///< ms, at the bottom
    double most_ = 1;     ///< ms, at the top; above least_
};

std::string axes(const scale& at)
{
    std::string out;
    for (const auto& mark : share_marks)
    {
        const auto x = at.x(mark.share);
        out += line(x, top, x, height - bottom);
        out += text(x, height - bottom + line_height, "middle", mark.label);
    }
    for (auto ms = at.least(); ms <= at.most() * 1.001; ms *= 10)
    {
        out += line(left, at.y(ms), width - right, at.y(ms));
        out += text(left - 6, at.y(ms) + 4, "end", number(ms));
    }
    out += text((left + width - right) / 2, height - 10, "middle",
                "share of requests");
    out += text(left - 6, top - 6, "end", "ms");
    return out;
}

std::string path(const curve& it, const scale& at, const std::string& colour)
{
    std::string points;
    for (const auto& point : it.points)
        if (point.share < 1)
            points +=
                number(at.x(point.share)) + "," + number(at.y(point.ms)) + " ";
    return "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" + colour +
           "\" points=\"" + points + "\"/>\n";
}

} // namespace

base::result<std::vector<curve>> read_curves(const std::string& json)
{
    try
    {
        const auto in = nlohmann::json::parse(json);
        std::vector<curve> out;
        for (const auto& it : in.at("variants"))
        {
            curve made;
            made.label = in.at("experiment").get<std::string>() + ": " +
                         it.at("variant").get<std::string>();
            for (const auto& point : it.at("latencies"))
                made.points.push_back({point.at(0), point.at(1)});
            out.push_back(std::move(made));
        }
        return out;
    }
    catch (const nlohmann::json::exception& ex)
    {
        return base::fail(base::error_code::invalid, base::step::parse, "",
                          ex.what());
    }
}

std::string to_svg(const std::vector<curve>& curves)
{
    const scale at(curves);
    std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                      number(width) + "\" height=\"" + number(height) +
                      "\" font-family=\"sans-serif\" font-size=\"12\">\n"
                      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    out += axes(at);
    for (std::size_t n = 0; n < curves.size(); ++n)
    {
        const std::string colour = colours[n % colours.size()];
        const auto y = top + line_height * static_cast<double>(n + 1);
        out += path(curves[n], at, colour);
        out += "<g fill=\"" + colour + "\">" +
               text(width - right + 10, y, "start", escaped(curves[n].label)) +
               "</g>\n";
    }
    return out + "</svg>\n";
}

} // namespace mimosacroft::load
