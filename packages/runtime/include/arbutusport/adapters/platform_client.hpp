// HTTP client of the platform's configuration service and instance list.
// Responses are validated as untrusted input.
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

/// Size limit of a value in the configuration service.
inline constexpr std::size_t max_response_bytes = 1024 * 1024;

struct platform_instance {
    std::string name;
    bool leaving = false;
};

/// @brief Parse the platform's responses. They fail with the steps
/// "parse_head" and "parse_instances".
result<config::head> parse_head(std::string_view text, const std::string& peer);
result<std::vector<platform_instance>> parse_instances(std::string_view text,
                                                       const std::string& peer);

struct platform_options {
    endpoint address;
    /// Data centre of this process, sent in the header X-Data-Centre.
    std::string data_centre;
    duration instances_interval = std::chrono::seconds(10);
    /// Added to the wait time of a watch; after that the platform is
    /// considered unavailable.
    duration response_grace = std::chrono::seconds(5);
    /// Returns whether this process reads the instance list; must be
    /// thread-safe. If unset, the list is read. If all 5,460 processes of the
    /// target deployment read the whole list, it would use most of their
    /// 27 KB/s of control traffic.
    std::function<bool()> reads_instances;
};

/// @brief Callbacks run on the client's threads. Each request has exactly one
/// result unless the client is destroyed first.
struct platform_callbacks {
    std::function<void(config::head)> on_head;
    /// No newer generation was published within the wait time.
    std::function<void(generation after)> on_unchanged;
    std::function<void(std::vector<records::raw_record>)> on_records;
    std::function<void(failure)> on_error;
    std::function<void(std::vector<platform_instance>)> on_instances;
    /// The instance list could not be read; the client retries.
    std::function<void(failure)> on_instances_error;
};

/// @brief Uses one thread for watches and reads and one for the instance list.
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
