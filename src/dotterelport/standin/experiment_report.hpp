#ifndef DOTTERELPORT_STANDIN_EXPERIMENT_REPORT_HPP
#define DOTTERELPORT_STANDIN_EXPERIMENT_REPORT_HPP

#include <ostream>
#include <string>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "experiment_run.hpp"

namespace dotterelport::standin::experiment {

/// Results of a policy for one class in one deployment under one fault.
struct report_row {
    std::string deployment;
    std::string fault;
    std::string kind;
    dotterelport::priority priority = dotterelport::priority::normal;
    std::string policy;
    class_result result;
};

/// @brief Value below which a part of the samples lies; 0 if there are none.
double percentile(std::vector<double> samples, double part);

json to_json(const report_row& row);

/// @brief Writes one line for each row.
void write_table(std::ostream& out, const std::vector<report_row>& rows);
void write_csv(std::ostream& out, const std::vector<report_row>& rows);

/// @brief Writes a gnuplot script that draws the 95th percentiles of the interactive model class
/// of each deployment as plot.svg.
void write_plot_script(std::ostream& out, const std::vector<report_row>& rows);

/// @brief Compares the chosen policy with each baseline by the 95th percentile of the total time,
/// and names every class in which it is behind by more than 5 %.
/// @return number of such cases
int write_comparison(std::ostream& out, const std::vector<report_row>& rows,
                     const std::string& chosen);

} // namespace dotterelport::standin::experiment

#endif
