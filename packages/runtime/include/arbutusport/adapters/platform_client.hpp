// Reads the platform's configuration service and list of instances over
// HTTP. Every response is checked as untrusted input.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/config/config_sync.hpp>
#include <arbutusport/records/records.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusport::adapters {

/// The largest value that the configuration service holds.
inline constexpr std::size_t max_response_bytes = 1024 * 1024;

struct platform_instance {
    std::string name;
    bool leaving = false;
};

/// @brief Parsers of the platform's responses. They fail with the steps
/// "parse_head" and "parse_instances".
result<config::head> parse_head(std::string_view text, const std::string& peer);
result<std::vector<platform_instance>> parse_instances(std::string_view text,
                                                       const std::string& peer);

struct platform_options {
    endpoint address;
    /// Of the reader; the platform gets it in the header X-Data-Centre.
    std::string data_centre;
    duration instances_interval = std::chrono::seconds(10);
    /// Added to the wait of a watch; then the platform counts as down.
    duration response_grace = std::chrono::seconds(5);
    /// Answers whether this process reads the list; thread-safe. Unset: it
    /// does. If all 5,460 processes of the target read the whole list, it
    /// takes most of their 27 KB/s of control traffic.
    std::function<bool()> reads_instances;
};

/// @brief Results arrive on the client's threads; each request has exactly
/// one result unless the client ends first.
struct platform_callbacks {
    std::function<void(config::head)> on_head;
    /// Nothing newer appeared within the wait.
    std::function<void(generation after)> on_unchanged;
    std::function<void(std::vector<records::raw_record>)> on_records;
    std::function<void(failure)> on_error;
    std::function<void(std::vector<platform_instance>)> on_instances;
    /// The list of instances could not be read; it is tried again.
    std::function<void(failure)> on_instances_error;
};

/// @brief One thread for watches and reads, one for the list of instances.
class platform_client {
public:
    platform_client(platform_options options, platform_callbacks callbacks);
    ~platform_client();

    void watch_head(generation after, duration wait);
    void fetch_records(std::vector<std::string> keys);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::adapters
