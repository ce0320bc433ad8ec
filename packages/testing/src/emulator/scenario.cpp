// Parser for scenario files.

#include <arbutusport/emulator/scenario.hpp>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <array>
#include <map>
#include <utility>

namespace arbutusport::emulator {

namespace {

using words = std::vector<std::string>;

struct unit {
    std::string_view suffix;
    double microseconds;
};

// "us" and "ms" precede "s", which is also a suffix of both.
constexpr std::array<unit, 4> units{
    {{"us", 1}, {"ms", 1e3}, {"min", 6e7}, {"s", 1e6}}};

struct verb {
    step_kind kind;
    bool needs_subject;
    bool needs_argument;
};

const std::map<std::string, verb, std::less<>> verbs{
    {"kill", {step_kind::kill, true, false}},
    {"restart", {step_kind::restart, true, false}},
    {"freeze", {step_kind::freeze, true, false}},
    {"cut", {step_kind::cut, true, true}},
    {"drain", {step_kind::drain, true, false}},
    {"activate", {step_kind::activate, true, false}},
    {"remove", {step_kind::remove, true, false}},
    {"reweight", {step_kind::reweight, true, true}},
    {"publish", {step_kind::publish, false, false}},
    {"corrupt", {step_kind::corrupt, true, false}},
    {"platform", {step_kind::platform, true, false}},
    {"list", {step_kind::list, true, false}},
    {"shed", {step_kind::shed, true, false}},
    {"slow", {step_kind::slow, true, false}},
    {"rebind", {step_kind::rebind, true, false}},
    {"key", {step_kind::key, true, true}},
    {"forge", {step_kind::forge, false, false}},
};

class parser {
public:
    explicit parser(std::string_view name) { scenario_.name = name; }

    result<scenario> run(std::string_view text) {
        words lines;
        boost::split(lines, text, boost::is_any_of("\n"));
        for (const std::string& it : lines) {
            ++line_;
            BOOST_LEAF_CHECK(parse_line(it));
        }
        if (scenario_.expectations.empty())
            return error("no expect statement", "at least one");
        return std::move(scenario_);
    }

private:
    leaf::error_id error(const std::string& found, const std::string& allowed) {
        return fail("parse_scenario",
                    scenario_.name + ":" + std::to_string(line_),
                    "found " + found + "; allowed: " + allowed);
    }

    result<void> parse_line(std::string line) {
        line = line.substr(0, line.find('#'));
        boost::trim(line);
        if (line.empty())
            return {};
        words it;
        boost::split(it, line, boost::is_any_of(" \t"),
                     boost::token_compress_on);
        const std::string statement = it.front();
        it.erase(it.begin());
        if (statement == "at")
            return parse_step(it);
        if (statement == "expect")
            return parse_expectation(it);
        if (statement == "clients")
            return parse_load(it);
        if (statement == "proves") {
            scenario_.proves = it;
            return {};
        }
        return parse_setting(statement, it);
    }

    result<void> parse_setting(const std::string& name, const words& it) {
        if (it.size() != 1)
            return error(name + " with " + std::to_string(it.size()) +
                             " values",
                         "one value");
        const std::string& value = it.front();
        link_options& links = scenario_.links;
        if (name == "seed")
            return parse_number(value, scenario_.seed);
        if (name == "records") {
            scenario_.records = value;
            return {};
        }
        if (name == "length")
            return parse_time(value, scenario_.length);
        if (name == "drain_timeout")
            return parse_time(value, scenario_.drain_timeout);
        if (name == "delay_within")
            return parse_time(value, links.within_data_centre);
        if (name == "delay_between")
            return parse_time(value, links.between_data_centres);
        if (name == "delay_clients")
            return parse_time(value, links.to_clients);
        if (name == "jitter")
            return parse_time(value, links.jitter);
        if (name == "loss")
            return parse_ratio(value, links.loss);
        if (name == "duplicates")
            return parse_ratio(value, links.duplicates);
        return error("statement " + name,
                     "at, expect, clients, proves, seed, records, length, "
                     "drain_timeout, "
                     "delay_within, delay_between, delay_clients, jitter, "
                     "loss, duplicates");
    }

    // clients <n> <service> every <time> [contributions <percent>]
    // [observers <percent>]
    result<void> parse_load(const words& it) {
        if (it.size() < 4 || it.size() % 2 != 0 || it[2] != "every")
            return error("clients statement of another shape",
                         "clients N SERVICE every TIME [contributions "
                         "PERCENT] [observers PERCENT]");
        load_options load;
        load.service = it[1];
        BOOST_LEAF_CHECK(parse_number(it[0], load.clients));
        BOOST_LEAF_CHECK(parse_time(it[3], load.interval));
        for (std::size_t i = 4; i < it.size(); i += 2) {
            if (it[i] == "contributions")
                BOOST_LEAF_CHECK(parse_number(it[i + 1], load.contributions));
            else if (it[i] == "observers")
                BOOST_LEAF_CHECK(parse_number(it[i + 1], load.observers));
            else
                return error(it[i], "contributions, observers");
        }
        if (load.contributions + load.observers > 100)
            return error("percentages above 100 together", "0 to 100");
        scenario_.loads.push_back(load);
        return {};
    }

    // at <time> <verb> [subjects] [from|to <arguments>] [for <time>]
    result<void> parse_step(const words& it) {
        step parsed;
        parsed.line = line_;
        if (it.size() < 2)
            return error("at statement without a verb", "at TIME VERB ...");
        duration offset{};
        BOOST_LEAF_CHECK(parse_time(it[0], offset));
        parsed.at = time_point(offset);
        const auto found = verbs.find(it[1]);
        if (found == verbs.end())
            return error("verb " + it[1], join_verb_names());
        parsed.kind = found->second.kind;
        std::size_t i = 2;
        if (i < it.size() && !is_preposition(it[i]))
            parsed.subjects = split_list(it[i++]);
        for (; i + 1 < it.size(); i += 2) {
            if (it[i] == "for")
                BOOST_LEAF_CHECK(parse_time(it[i + 1], parsed.lasting));
            else if (is_preposition(it[i]))
                parsed.arguments = split_list(it[i + 1]);
            else
                return error(it[i], "from, to, in, for");
        }
        if (i != it.size())
            return error(it[i] + " without a value", "a value");
        if (found->second.needs_subject && parsed.subjects.empty())
            return error(it[1] + " without a subject", "a name or name*");
        if (found->second.needs_argument && parsed.arguments.empty())
            return error(it[1] + " without from or to", "from NAMES, to VALUE");
        scenario_.steps.push_back(std::move(parsed));
        return {};
    }

    // expect <figure> ==|<=|>= <number>
    result<void> parse_expectation(const words& it) {
        if (it.size() != 3)
            return error("expect statement of another shape",
                         "expect FIGURE ==|<=|>= NUMBER");
        expectation parsed{.figure = it[0], .line = line_};
        if (it[1] == "==")
            parsed.relation = comparison::equal;
        else if (it[1] == "<=")
            parsed.relation = comparison::at_most;
        else if (it[1] == ">=")
            parsed.relation = comparison::at_least;
        else
            return error(it[1], "==, <=, >=");
        BOOST_LEAF_CHECK(parse_number(it[2], parsed.bound));
        scenario_.expectations.push_back(std::move(parsed));
        return {};
    }

    template <class Number>
    result<void> parse_number(const std::string& text, Number& out) {
        // lexical_cast accepts "-1" for unsigned types.
        if (text.starts_with('-') ||
            !boost::conversion::try_lexical_convert(text, out))
            return error(text, "a number not below 0");
        return {};
    }

    result<void> parse_ratio(const std::string& text, double& out) {
        BOOST_LEAF_CHECK(parse_number(text, out));
        if (out > 1)
            return error(text, "a ratio from 0 to 1");
        return {};
    }

    result<void> parse_time(const std::string& text, duration& out) {
        for (const unit& it : units) {
            if (!text.ends_with(it.suffix))
                continue;
            double value = 0;
            BOOST_LEAF_CHECK(parse_number(
                text.substr(0, text.size() - it.suffix.size()), value));
            out = duration(static_cast<duration::rep>(value * it.microseconds));
            return {};
        }
        return error(text, "a time in us, ms, s or min");
    }

    static bool is_preposition(const std::string& it) {
        return it == "from" || it == "to" || it == "in" || it == "for";
    }

    static words split_list(const std::string& text) {
        words out;
        boost::split(out, text, boost::is_any_of(","));
        return out;
    }

    static std::string join_verb_names() {
        std::string out;
        for (const auto& [name, unused] : verbs)
            out += (out.empty() ? "" : ", ") + name;
        return out;
    }

    scenario scenario_;
    // Number of the current line, from 1.
    std::size_t line_ = 0;
};

} // namespace

result<scenario> parse_scenario(std::string_view name, std::string_view text) {
    return parser(name).run(text);
}

bool matches(std::string_view pattern, std::string_view name) {
    if (pattern.ends_with('*'))
        return name.starts_with(pattern.substr(0, pattern.size() - 1));
    return pattern == name;
}

} // namespace arbutusport::emulator
