#include "settings/Settings.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::settings;

namespace {

const std::string Base = R"([zone.z-1]
region = "r"

[model.m]
context_tokens = 1000

[pool.engines]
kind = "model_engine"
model = "m"
slots = 4

[tier.gold]
class = "interactive"
models = ["m"]
concurrent_requests = 10
tokens_per_minute = 1000
deadline = "2s"

[organisation.acme]
tier = "gold"
key_hashes = []

[target.e-1]
pool = "engines"
zone = "z-1"
mailbox = "tcp://127.0.0.1:7000"
operator = "127.0.0.1:7001"
)";

std::vector<Problem> problemsOf(const std::string& extra)
{
    const std::vector<SourceFile> files { { "00-base.toml", Base }, { "50-extra.toml", extra } };
    try {
        parseDeployment(files);
        return {};
    } catch (const SettingsInvalid& error) {
        return { error.problems().begin(), error.problems().end() };
    }
}

void expectProblem(const std::string& extra, const std::string& key, uint32_t line)
{
    const std::vector<Problem> problems = problemsOf(extra);
    const bool found = std::any_of(problems.begin(), problems.end(), [&](const Problem& problem) {
        return problem.file == "50-extra.toml" && problem.key == key && problem.line == line
            && !problem.expected.empty();
    });
    cr_assert(found, "no problem reported at %s", key.c_str());
}

} // namespace

Test(deployment, accepts_a_valid_configuration) { cr_assert(problemsOf("").empty()); }

Test(deployment, a_later_file_overrides_single_keys)
{
    const std::vector<SourceFile> files { { "00-base.toml", Base },
        { "50-extra.toml", "[tier.gold]\ndeadline = \"5s\"\n" } };
    const Deployment deployment = parseDeployment(files);
    const Tier& tier = deployment.tiers.at(TierId("gold"));
    cr_assert_eq(tier.deadline.count(), 5000);
    cr_assert_eq(tier.concurrentRequests, 10);
}

Test(deployment, reports_an_unknown_key)
{
    expectProblem("[tier.gold]\n\ncolour = 1\n", "tier.gold.colour", 3);
}

Test(deployment, reports_an_unknown_section) { expectProblem("[teir.x]\nclass = 1\n", "teir", 1); }

Test(deployment, reports_a_wrong_type)
{
    expectProblem("[pool.engines]\nslots = \"many\"\n", "pool.engines.slots", 2);
}

Test(deployment, reports_a_wrong_unit)
{
    expectProblem("[tier.gold]\ndeadline = \"2 sec\"\n", "tier.gold.deadline", 2);
}

Test(deployment, reports_a_value_out_of_range)
{
    expectProblem("[limits]\nretry_share = 1.5\n", "limits.retry_share", 2);
}

Test(deployment, reports_references_to_missing_tables)
{
    expectProblem("[organisation.acme]\ntier = \"silver\"\n", "organisation.acme.tier", 2);
    expectProblem("[target.e-1]\npool = \"none\"\n", "target.e-1.pool", 2);
}

Test(deployment, reports_two_targets_with_one_address)
{
    expectProblem("[target.e-2]\npool = \"engines\"\nzone = \"z-1\"\n"
                  "mailbox = \"tcp://127.0.0.1:7000\"\noperator = \"127.0.0.1:7002\"\n",
        "target.e-2.mailbox", 4);
}

Test(deployment, reports_one_key_for_two_organisations)
{
    const std::string hash(64, 'a');
    const std::string hashes = "key_hashes = [\"" + hash + "\"]\n";
    expectProblem(
        "[organisation.acme]\n" + hashes + "[organisation.beta]\ntier = \"gold\"\n" + hashes,
        "organisation.beta.key_hashes", 5);
}

Test(deployment, reports_a_table_named_twice_in_one_file)
{
    cr_assert_eq(problemsOf("[zone.b]\nregion = \"r\"\n[zone.b]\nregion = \"s\"\n").size(), 1);
}

Test(deployment, reports_a_missing_key) { expectProblem("[zone.z-2]\n", "zone.z-2.region", 1); }

Test(process_settings, reports_missing_and_invalid_keys_together)
{
    try {
        parseEntrySettings({ "entry.toml", "id = \"entry-1\"\nmailbox = \"nowhere\"\n" });
        cr_assert_fail("accepted");
    } catch (const SettingsInvalid& error) {
        cr_assert_geq(error.problems().size(), 6);
    }
}

Test(documents, round_trip_unchanged)
{
    const std::vector<SourceFile> files { { "a.toml", "x = 1\n" }, { "b.toml", "\"\\\n" } };
    const std::vector<SourceFile> back = fromDocument(toDocument(files));
    cr_assert_eq(back.size(), 2);
    cr_assert_eq(back[1].name, files[1].name);
    cr_assert_eq(back[1].text, files[1].text);
}
