#include "settings/Settings.h"

#include <criterion/criterion.h>

using namespace citronspoke::settings;

namespace {

const std::string Folder = DEPLOY_FOLDER;

} // namespace

Test(examples, both_deployments_are_valid)
{
    for (const char* name : { "/rahbar", "/nordurskifa" }) {
        const Deployment deployment = parseDeployment(readFolder(Folder + name));
        cr_assert_eq(deployment.targets.size(), 15);
        cr_assert_eq(deployment.zones.size(), 3);
    }
}

Test(examples, the_settings_of_entry_and_agent_are_valid)
{
    cr_assert_eq(parseEntrySettings(readFile(Folder + "/settings/entry.toml")).seeds.size(), 2);
    cr_assert_eq(parseAgentSettings(readFile(Folder + "/settings/agent.toml")).process.id, "e-1");
}
