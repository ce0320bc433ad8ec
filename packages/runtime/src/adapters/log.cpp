// Writes log lines through glog. glog's own prefix is off because it is not
// key=value; time and level are fields. A sink receives the lines because glog
// itself would write while it holds a lock that every line needs.

#include <arbutusport/adapters/line_writer.hpp>
#include <arbutusport/adapters/log.hpp>

#include <glog/logging.h>

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace arbutusport::adapters {

namespace {

constexpr duration flush_time = std::chrono::milliseconds(200);

class writer_sink : public google::LogSink {
public:
    explicit writer_sink(line_writer_options options)
        : writer_(std::move(options)) {}

    // The writer counts lines that do not fit into its queue.
    void send(google::LogSeverity, const char*, const char*, int, const ::tm*,
              const char* message, std::size_t size) override {
        writer_.write(std::string(message, size));
    }
    void flush() { writer_.flush(flush_time); }

private:
    line_writer writer_;
};

log_options active_options;
// Null until start_log(); until then lines go to glog's own output.
std::unique_ptr<writer_sink> sink;

const char* name_of(severity it) {
    switch (it) {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        break;
    }
    return "error";
}

} // namespace

void start_log(const log_options& options) {
    static const std::string program = "arbutusport";
    google::InitGoogleLogging(program.c_str());
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    active_options = options;
    sink = std::make_unique<writer_sink>(line_writer_options{
        .descriptor = options.descriptor,
        .prefix =
            "level=warning process=" + quote_value(options.process) + ' '});
}

void flush_log() {
    if (sink)
        sink->flush();
}

std::string quote_value(std::string_view value) {
    const bool plain =
        !value.empty() && std::ranges::none_of(value, [](unsigned char c) {
            return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 127;
        });
    if (plain)
        return std::string(value);
    std::string out = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            out += '\\';
        const auto code = static_cast<unsigned char>(c);
        out += code < ' ' || code == 127 ? ' ' : c;
    }
    return out + '"';
}

log_event::log_event(severity level, std::string_view event) : level_(level) {
    line_ << "time="
          << Poco::DateTimeFormatter::format(
                 Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT)
          << " level=" << name_of(level);
    if (!active_options.process.empty())
        line_ << " process=" << active_options.process;
    line_ << " event=" << event;
}

log_event::~log_event() {
    if (level_ < active_options.minimum_severity)
        return;
    if (sink)
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink.get(), INFO) << line_.str();
    else if (level_ == severity::error)
        LOG(ERROR) << line_.str();
    else if (level_ == severity::warning)
        LOG(WARNING) << line_.str();
    else
        LOG(INFO) << line_.str();
}

log_event& log_event::field(std::string_view key, std::string_view value) {
    line_ << ' ' << key << '=' << quote_value(value);
    return *this;
}

bool log_limiter::allow(time_point now) {
    const std::lock_guard lock(mutex_);
    if (now - window_start_ >= std::chrono::seconds(1)) {
        window_start_ = now;
        lines_ = 0;
    }
    if (lines_ < lines_per_second_) {
        ++lines_;
        return true;
    }
    ++suppressed_;
    return false;
}

std::uint64_t log_limiter::take_suppressed() {
    const std::lock_guard lock(mutex_);
    return std::exchange(suppressed_, 0);
}

} // namespace arbutusport::adapters
