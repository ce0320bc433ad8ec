// Implements `arbutusctl report`.

#include <arbutusport/ctl/burn_report.hpp>
#include <arbutusport/ctl/commands.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <ostream>
#include <vector>

namespace arbutusport::ctl {

namespace {

using nlohmann::json;

result<std::string> get_slo(const endpoint& process, duration timeout) {
    const std::string peer = to_string(process);
    try {
        Poco::Net::HTTPClientSession session(peer.substr(0, peer.find(':')),
                                             process.port);
        session.setTimeout(Poco::Timespan(timeout.count()));
        Poco::Net::HTTPRequest request("GET", "/slo");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response),
                                         body);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
            return fail("get_slo", peer,
                        "HTTP status " + std::to_string(response.getStatus()));
        return body;
    } catch (const Poco::Exception& it) {
        return fail("get_slo", peer, it.displayText());
    }
}

void print_text(const burn_table& table, const std::vector<std::string>& errors,
                std::ostream& out) {
    out << std::left << std::setw(14) << "service" << std::setw(20)
        << "objective" << std::setw(9) << "target";
    for (const char* it : burn_windows)
        out << std::setw(9) << (std::string("burn ") + it);
    out << std::setw(12) << "good 6h" << std::setw(10) << "bad 6h"
        << "alert\n";
    for (const auto& [key, burn] : table) {
        out << std::setw(14) << key.first << std::setw(20) << key.second
            << std::setw(9) << burn.target;
        for (std::size_t i = 0; i < burn_windows.size(); ++i)
            out << std::setw(9) << std::setprecision(3) << burn.rate(i);
        out << std::setprecision(6) << std::setw(12) << burn.counts.back().good
            << std::setw(10) << burn.counts.back().bad << burn.alert() << '\n';
    }
    for (const std::string& it : errors)
        out << "error: " << it << '\n';
}

void print_json(const burn_table& table, const std::vector<std::string>& errors,
                std::ostream& out) {
    json list = json::array();
    for (const auto& [key, burn] : table) {
        json rates;
        for (std::size_t i = 0; i < burn_windows.size(); ++i)
            rates[burn_windows[i]] = burn.rate(i);
        list.push_back({{"service", key.first},
                        {"objective", key.second},
                        {"target", burn.target},
                        {"burn", rates},
                        {"good_6h", burn.counts.back().good},
                        {"bad_6h", burn.counts.back().bad},
                        {"alert", burn.alert()}});
    }
    out << json{{"objectives", list}, {"errors", errors}}.dump(2) << '\n';
}

} // namespace

int report(const report_options& options, output_format format,
           std::ostream& out) {
    burn_table table;
    std::vector<std::string> errors;
    for (const endpoint& it : options.processes)
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(text, get_slo(it, options.timeout));
                return add_slo_document(text, to_string(it), table);
            },
            [&](const failure& why) {
                errors.push_back(why.peer + ": " + why.step + ": " +
                                 why.reason);
            });
    if (!options.plot.empty()) {
        std::ofstream file(options.plot);
        file << make_burn_plot(table);
        if (!file.flush())
            errors.push_back(options.plot + ": cannot be written");
    }
    if (format == output_format::json)
        print_json(table, errors, out);
    else
        print_text(table, errors, out);
    return errors.empty() ? exit_success : exit_findings;
}

} // namespace arbutusport::ctl
