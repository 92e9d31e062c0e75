#ifndef DOTTERELPORT_STANDIN_EXPERIMENT_REPORT_HPP
#define DOTTERELPORT_STANDIN_EXPERIMENT_REPORT_HPP

#include <ostream>
#include <string>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "experiment_run.hpp"

namespace dotterelport::standin::experiment {

/// Results of one policy for one class in one deployment with one fault.
struct report_row {
    std::string deployment;
    std::string fault;
    std::string class_name;
    dotterelport::priority priority = dotterelport::priority::normal;
    std::string policy;
    class_result result;
};

/// @brief Sample at the given fraction of the sorted samples; 0 if there are none.
double percentile(std::vector<double> samples, double fraction);

json to_json(const report_row& row);

/// @brief Writes one line for each row, under headings for deployment, fault and class.
void write_table(std::ostream& out, const std::vector<report_row>& rows);
void write_csv(std::ostream& out, const std::vector<report_row>& rows);

/// @brief Writes a gnuplot script that draws the 95th percentiles of the interactive model class
/// of each deployment as plot.svg.
void write_plot_script(std::ostream& out, const std::vector<report_row>& rows);

/// @brief Compares the chosen policy with each baseline by the 95th percentiles of the time to the
/// first token and of the total time. Lists the percentiles that are more than 5 % higher than the
/// baseline, and those of interactive classes that are not lower.
/// @return number of percentiles that are more than 5 % higher
int write_comparison(std::ostream& out, const std::vector<report_row>& rows,
                     const std::string& chosen);

} // namespace dotterelport::standin::experiment

#endif
