#include "settings/Settings.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::settings;

namespace {

const std::string Gateway
    = "id = \"e\"\nzone = \"z\"\ncallers = \"10.0.0.1:1\"\n"
      "readiness = \"10.0.0.1:2\"\noperator = \"10.0.0.1:3\"\n"
      "store = \"10.0.0.2:4\"\nstop_grace_s = 8\nretry_share = 0.2\n"
      "retry_fixed_part = 58\nretry_window_s = 10\n"
      "sidecar_port = 7380\napply_time_ms = 2000\ndrain_time_ms = 3000\nlimit_notice_ms = 4000\n";

std::vector<Problem> problemsOf(const std::string& text)
{
    try {
        parseGatewaySettings({ "gateway.toml", text });
    } catch (const SettingsInvalid& invalid) {
        return { invalid.problems().begin(), invalid.problems().end() };
    }
    return {};
}

} // namespace

Test(gateway_settings, converts_seconds_to_milliseconds)
{
    const GatewaySettings settings = parseGatewaySettings({ "gateway.toml", Gateway });
    cr_assert(settings.stopGrace == Milliseconds(8000));
    cr_assert(settings.retries.window == Milliseconds(10000));
    cr_assert_eq(settings.retries.fixedPart, 58);
    cr_assert_eq(settings.sidecarPort, 7380);
    cr_assert(settings.applyTime == Milliseconds(2000));
    cr_assert(settings.drainTime == Milliseconds(3000));
    cr_assert(settings.limitNoticeTime == Milliseconds(4000));
}

// Guards earlier deployments, whose platform does not state these settings.
Test(gateway_settings, the_settings_for_unconfirmed_keys_may_be_absent)
{
    const GatewaySettings absent = parseGatewaySettings({ "gateway.toml", Gateway });
    cr_assert(!absent.refusesUnconfirmedKeys);
    cr_assert(absent.revokeTime == Milliseconds(5000));
    const GatewaySettings stated = parseGatewaySettings(
        { "gateway.toml", Gateway + "revoke_fail_closed = true\nrevoke_time_ms = 7000\n" });
    cr_assert(stated.refusesUnconfirmedKeys);
    cr_assert(stated.revokeTime == Milliseconds(7000));
}

// Guards platforms that do not state what a process may use.
Test(gateway_settings, limits_of_the_process_may_be_absent)
{
    const ProcessLimits absent = parseGatewaySettings({ "gateway.toml", Gateway }).process;
    cr_assert_eq(absent.memoryMb, 256U);
    cr_assert_eq(absent.descriptors, 4096U);
    const std::string limits = "memory_mb = 160\nmax_descriptors = 4100\n";
    const ProcessLimits stated = parseGatewaySettings({ "gateway.toml", Gateway + limits }).process;
    cr_assert_eq(stated.memoryMb, 160U);
    cr_assert_eq(stated.descriptors, 4100U);
    const std::string sidecar = "id = \"s\"\nzone = \"z\"\nengine = \"10.0.0.1:1\"\n"
                                "operator = \"10.0.0.1:2\"\n";
    cr_assert_eq(parseSidecarSettings({ "s.toml", sidecar + limits }).process.memoryMb, 160U);
}

Test(gateway_settings, reports_missing_invalid_and_unknown_keys_together)
{
    std::string text = Gateway;
    text.replace(text.find("10.0.0.1:1"), 10, "nowhere");
    text.replace(text.find("zone = \"z\"\n"), 11, "");
    text += "surprise = 1\n";
    const std::vector<Problem> problems = problemsOf(text);
    cr_assert_eq(problems.size(), 3U);
}

Test(gateway_settings, a_missing_file_throws_settings_unreadable)
{
    bool isUnreadable = false;
    try {
        readFile("/nowhere/settings.toml");
    } catch (const SettingsUnreadable&) {
        isUnreadable = true;
    }
    cr_assert(isUnreadable);
}

// Guards against deployments that change their choice of targets without asking for it.
Test(gateway_settings, even_load_is_off_unless_set)
{
    cr_assert_not(parseGatewaySettings({ "gateway.toml", Gateway }).hasEvenLoad);
    const std::string even = std::string(Gateway) + "even_load = true\n";
    cr_assert(parseGatewaySettings({ "gateway.toml", even }).hasEvenLoad);
}

Test(gateway_settings, first_start_is_off_unless_set)
{
    cr_assert_not(parseGatewaySettings({ "gateway.toml", Gateway }).isFirstStart);
    const std::string first = std::string(Gateway) + "first_start = true\n";
    cr_assert(parseGatewaySettings({ "gateway.toml", first }).isFirstStart);
}

// Guards against duties that run where the platform states none.
Test(gateway_settings, duties_are_off_unless_the_platform_states_them)
{
    cr_assert_not(parseGatewaySettings({ "gateway.toml", Gateway }).duties.reportsUsage());
    const std::string api = std::string(Gateway) + "platform_api = \"10.0.0.9:80\"\n";
    cr_assert_not(
        parseGatewaySettings({ "g.toml", api + "duties = \"\"\n" }).duties.reportsUsage());
    cr_assert_not(parseGatewaySettings({ "g.toml", api + "duties = \"autoscaling\"\n" })
                      .duties.reportsUsage());
    const std::string stated = api
        + "duties = \"autoscaling, usage_reporting\"\nduty_rate = 20\nlease_time_ms = 4000\n"
          "usage_window_s = 2.5\nusage_delay_s = 8\nclock_skew_ms = 100\n";
    const DutySettings duties = parseGatewaySettings({ "g.toml", stated }).duties;
    cr_assert(duties.reportsUsage());
    cr_assert_eq(duties.callsPerSecond, 20);
    cr_assert(duties.leaseTime == Milliseconds(4000));
    cr_assert(duties.usageWindow == Milliseconds(2500));
    cr_assert(duties.usageDelay == Milliseconds(8000));
    cr_assert(duties.clockSkew == Milliseconds(100));
}
