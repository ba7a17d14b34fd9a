#include "Plot.h"

#include "model/Model.h"

#include <array>
#include <cairo-svg.h>
#include <memory>

namespace citronspoke::experiment {

namespace {

    constexpr double Margin = 40;
    constexpr double GroupWidth = 110;
    constexpr double BarWidth = 16;
    constexpr double PlotHeight = 260;
    constexpr double LegendHeight = 24;
    constexpr double FontSize = 11;

    struct Colour {
        double red;
        double green;
        double blue;
    };
    /** Distinguishable without colour vision. */
    constexpr std::array<Colour, 5> Colours { Colour { 0.0, 0.45, 0.70 },
        Colour { 0.90, 0.62, 0.0 }, Colour { 0.0, 0.62, 0.45 }, Colour { 0.80, 0.47, 0.65 },
        Colour { 0.5, 0.5, 0.5 } };

    /** A plot could not be written. */
    class PlotFailed final : public Error {
    public:
        explicit PlotFailed(std::string path)
            : m_path(std::move(path))
        {
        }
        std::string_view kind() const noexcept override { return "plot_failed"; }
        std::string describe() const override { return "Cannot write " + m_path + "."; }

    private:
        std::string m_path;
    };

    void setColour(cairo_t* context, size_t series)
    {
        const Colour& colour = Colours[series % Colours.size()];
        cairo_set_source_rgb(context, colour.red, colour.green, colour.blue);
    }

    void write(cairo_t* context, double x, double y, const std::string& text)
    {
        cairo_set_source_rgb(context, 0, 0, 0);
        cairo_move_to(context, x, y);
        cairo_show_text(context, text.c_str());
    }

    double heightOf(double share) { return PlotHeight * share; }

    void drawAxis(cairo_t* context, double bottom, double width)
    {
        constexpr int Steps = 5;
        for (int step = 0; step <= Steps; ++step) {
            const double share = static_cast<double>(step) / Steps;
            const double y = bottom - heightOf(share);
            write(context, 8, y, std::to_string(share).substr(0, 3));
            cairo_set_source_rgb(context, 0.85, 0.85, 0.85);
            cairo_move_to(context, Margin, y);
            cairo_line_to(context, width - Margin, y);
            cairo_stroke(context);
        }
    }

    void drawGroup(cairo_t* context, const BarGroup& group, double left, double bottom)
    {
        double x = left;
        for (size_t series = 0; series < group.values.size(); ++series, x += BarWidth) {
            const double height = heightOf(group.values[series]);
            setColour(context, series);
            cairo_rectangle(context, x, bottom - height, BarWidth - 2, height);
            cairo_fill(context);
        }
        cairo_set_source_rgb(context, 0, 0, 0);
        cairo_move_to(context, left, bottom - heightOf(group.bound));
        cairo_line_to(context, x, bottom - heightOf(group.bound));
        cairo_stroke(context);
        constexpr size_t LongestName = 18;
        write(context, left, bottom + 2 * FontSize, group.name.substr(0, LongestName));
    }

} // namespace

void writeBars(const std::string& path, const std::string& title,
    std::span<const std::string> series, std::span<const BarGroup> groups)
{
    const double width = 2 * Margin + GroupWidth * static_cast<double>(groups.size());
    const double bottom = Margin + LegendHeight + PlotHeight;
    using Surface = std::unique_ptr<cairo_surface_t, decltype(&cairo_surface_destroy)>;
    using Context = std::unique_ptr<cairo_t, decltype(&cairo_destroy)>;
    const Surface surface(
        cairo_svg_surface_create(path.c_str(), width, bottom + Margin), &cairo_surface_destroy);
    const Context context(cairo_create(surface.get()), &cairo_destroy);
    cairo_set_font_size(context.get(), FontSize);
    write(context.get(), Margin, Margin / 2, title);
    double x = Margin;
    for (size_t index = 0; index < series.size(); ++index, x += GroupWidth + Margin) {
        setColour(context.get(), index);
        cairo_rectangle(context.get(), x, Margin - FontSize, FontSize, FontSize);
        cairo_fill(context.get());
        write(context.get(), x + 2 * FontSize, Margin, series[index]);
    }
    drawAxis(context.get(), bottom, width);
    x = Margin;
    for (const BarGroup& group : groups) {
        drawGroup(context.get(), group, x, bottom);
        x += GroupWidth;
    }
    cairo_surface_finish(surface.get());
    if (cairo_surface_status(surface.get()) != CAIRO_STATUS_SUCCESS)
        throw PlotFailed(path);
}

} // namespace citronspoke::experiment
