#pragma once

#include <span>
#include <string>
#include <vector>

namespace citronspoke::experiment {

/** One group of bars, one for each series. */
struct BarGroup {
    std::string name;
    /** Between 0 and 1, in the order of the series. */
    std::vector<double> values;
    /** An upper bound of the values, drawn as a line across the group. */
    double bound = 1;
};

/**
 * Writes a bar chart of shares between 0 and 1 as an SVG file.
 * @throws PlotFailed when the file cannot be written.
 */
void writeBars(const std::string& path, const std::string& title,
    std::span<const std::string> series, std::span<const BarGroup> groups);

} // namespace citronspoke::experiment
