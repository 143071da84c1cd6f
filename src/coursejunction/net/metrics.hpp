/*! @file
 * @brief Metrics of a process in the Prometheus text format.
 */
#ifndef COURSEJUNCTION_NET_METRICS_HPP
#define COURSEJUNCTION_NET_METRICS_HPP

#include <map>
#include <memory>
#include <string>

namespace coursejunction
{

/*! @brief Counters, gauges and histograms by name (prometheus-cpp). */
class metrics
{
public:
    using labels = std::map<std::string, std::string>;

    metrics();
    ~metrics();

    /*! @brief Adds to a counter. */
    void count(const std::string& name, double amount = 1,
               const labels& with = {});

    /*! @brief Sets a gauge. */
    void set(const std::string& name, double value, const labels& with = {});

    /*! @brief Records a duration in seconds. */
    void observe(const std::string& name, double seconds,
                 const labels& with = {});

    /*! @brief Returns all metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
