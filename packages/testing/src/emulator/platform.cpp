// Versioned records with watches, a call limit, and failure modes for each data
// centre.

#include <arbutusport/base/ids.hpp>
#include <arbutusport/emulator/platform.hpp>
#include <arbutusport/emulator/tool.hpp>

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>

namespace arbutusport::emulator {

namespace {

using nlohmann::json;

constexpr auto slow_delay = std::chrono::seconds(2);
constexpr auto max_hang = std::chrono::seconds(60);
constexpr auto max_watch = std::chrono::seconds(60);
const std::string record_path = "/v1/records/";
const std::string admin_record_path = "/admin/records/";

enum class mode : std::uint8_t { up, down, hang, stale, slow };

mode parse_mode(const std::string& text) {
    static const std::map<std::string, mode> names{{"up", mode::up},
                                                   {"down", mode::down},
                                                   {"hang", mode::hang},
                                                   {"stale", mode::stale},
                                                   {"slow", mode::slow}};
    const auto it = names.find(text);
    if (it == names.end())
        throw std::invalid_argument("mode " + text +
                                    " is not up, down, hang, stale or slow");
    return it->second;
}

struct record {
    std::string text;
    std::uint64_t revision = 0;
};

struct store {
    generation gen{1, 0};
    std::map<std::string, record> records;

    void publish(const std::string& key, std::string text) {
        if (key.starts_with("fleet/")) {
            const json it = json::parse(text, nullptr, false);
            if (it.is_object())
                gen.epoch = it.value("epoch", gen.epoch);
        }
        records[key] = {std::move(text), ++gen.revision};
    }

    bool remove(const std::string& key) {
        if (records.erase(key) == 0)
            return false;
        ++gen.revision;
        return true;
    }
};

std::string read_file(const std::filesystem::path& path) {
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error("record file " + path.string() +
                                 " is unreadable");
    return {std::istreambuf_iterator<char>(in), {}};
}

// File "service.participa.json" holds record "service/participa".
std::string key_of(const std::filesystem::path& file) {
    const std::string stem = file.stem().string();
    const auto dot = stem.find('.');
    if (dot == std::string::npos)
        throw std::runtime_error("record file " + file.string() +
                                 " is not named <kind>.<name>.json");
    return stem.substr(0, dot) + "/" + stem.substr(dot + 1);
}

store load_records(const std::string& directory) {
    store it;
    if (directory.empty())
        return it;
    std::map<std::string, std::filesystem::path> files;
    for (const auto& file : std::filesystem::directory_iterator(directory))
        if (file.path().extension() == ".json")
            files[key_of(file.path())] = file.path();
    for (const auto& [key, path] : files)
        it.publish(key, read_file(path));
    return it;
}

generation parse_generation(const std::string& text) {
    const auto dot = text.find('.');
    if (dot == std::string::npos)
        throw std::invalid_argument("after=" + text + " is not epoch.revision");
    return {static_cast<std::uint32_t>(std::stoul(text.substr(0, dot))),
            std::stoull(text.substr(dot + 1))};
}

http_answer head_answer(const store& it) {
    json out{{"epoch", it.gen.epoch},
             {"revision", it.gen.revision},
             {"records", json::array()}};
    for (const auto& [key, one] : it.records)
        out["records"].push_back({{"key", key}, {"revision", one.revision}});
    return {200, out.dump(), {}};
}

http_answer record_answer(const store& it, const std::string& key) {
    const auto found = it.records.find(key);
    if (found == it.records.end())
        return {404, "no record " + key, {}};
    return {200,
            found->second.text,
            {{"X-Revision", std::to_string(found->second.revision)}}};
}

} // namespace

class platform::impl {
public:
    explicit impl(platform_options options)
        : options_(std::move(options)),
          current_(load_records(options_.records)) {}

    http_answer on_read(const http_call& call) {
        std::unique_lock lock(mutex_);
        if (!admit_call())
            return {429, "too many calls", {}};
        const std::string dc = call.data_centre;
        const mode found = mode_of(dc);
        if (found == mode::slow)
            changed_.wait_for(lock, slow_delay, [&] { return stopping_; });
        if (found == mode::hang)
            changed_.wait_for(lock, max_hang, [&] {
                return stopping_ || mode_of(dc) != mode::hang;
            });
        if (stopping_ || mode_of(dc) == mode::down)
            return {503, "down", {}};
        if (call.path == "/v1/head")
            return watch(call, lock);
        if (call.path == "/v1/instances")
            return {200, json{{"instances", instances_}}.dump(), {}};
        if (call.path.starts_with(record_path))
            return record_answer(visible_to(dc),
                                 call.path.substr(record_path.size()));
        return {404, "no path " + call.path, {}};
    }

    http_answer on_admin(const http_call& call) {
        const std::scoped_lock lock(mutex_);
        http_answer it;
        if (call.path.starts_with(admin_record_path))
            it = change_record(call);
        else if (call.path == "/admin/mode")
            set_mode(json::parse(call.body));
        else if (call.path == "/admin/instances")
            instances_ = json::parse(call.body).at("instances");
        else if (call.path == "/admin/calls")
            it.body =
                json{{"calls", calls_}, {"refused", rejected_calls_}}.dump();
        else
            it = {404, "no path " + call.path, {}};
        changed_.notify_all();
        return it;
    }

    void stop() {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }

private:
    // Counts calls in windows of one second.
    bool admit_call() {
        const auto second = std::chrono::floor<std::chrono::seconds>(
            monotonic_now().time_since_epoch());
        if (second != window_start_) {
            window_start_ = second;
            calls_in_window_ = 0;
        }
        ++calls_;
        if (++calls_in_window_ <= options_.max_calls_per_s)
            return true;
        ++rejected_calls_;
        return false;
    }

    mode mode_of(const std::string& data_centre) const {
        const auto it = modes_.find(data_centre);
        return it == modes_.end() ? mode_ : it->second;
    }

    const store& visible_to(const std::string& data_centre) const {
        return mode_of(data_centre) == mode::stale ? stale_snapshot_ : current_;
    }

    http_answer watch(const http_call& call,
                      std::unique_lock<std::mutex>& lock) {
        const auto argument = [&](const char* name, const char* absent) {
            const auto it = call.query.find(name);
            return it == call.query.end() ? std::string(absent) : it->second;
        };
        const generation after = parse_generation(argument("after", "0.0"));
        const auto wait = std::min<std::chrono::duration<double>>(
            std::chrono::duration<double>(std::stod(argument("wait", "0"))),
            max_watch);
        const std::string& dc = call.data_centre;
        changed_.wait_for(lock, wait, [&] {
            return stopping_ || mode_of(dc) == mode::down ||
                   visible_to(dc).gen > after;
        });
        if (stopping_ || mode_of(dc) == mode::down)
            return {503, "down", {}};
        if (visible_to(dc).gen > after)
            return head_answer(visible_to(dc));
        return {304, {}, {}};
    }

    http_answer change_record(const http_call& call) {
        const std::string key = call.path.substr(admin_record_path.size());
        if (call.method == "DELETE" && !current_.remove(key))
            return {404, "no record " + key, {}};
        if (call.method == "POST")
            current_.publish(key, call.body);
        return {200, to_string(current_.gen), {}};
    }

    void set_mode(const json& it) {
        const mode wanted = parse_mode(it.at("mode"));
        if (wanted == mode::stale)
            stale_snapshot_ = current_;
        if (it.contains("data_centre")) {
            modes_[it["data_centre"]] = wanted;
            return;
        }
        modes_.clear();
        mode_ = wanted;
    }

    const platform_options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    store current_;
    // Records that readers receive in mode stale.
    store stale_snapshot_;
    json instances_ = json::array();
    mode mode_ = mode::up;
    // Data centres whose mode differs from `mode_`.
    std::map<std::string, mode> modes_;
    std::chrono::seconds window_start_{0};
    std::uint32_t calls_in_window_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t rejected_calls_ = 0;
    bool stopping_ = false;
};

platform::platform(platform_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}

platform::~platform() = default;

http_answer platform::on_read(const http_call& call) {
    return impl_->on_read(call);
}

http_answer platform::on_admin(const http_call& call) {
    return impl_->on_admin(call);
}

void platform::stop() {
    impl_->stop();
}

} // namespace arbutusport::emulator
