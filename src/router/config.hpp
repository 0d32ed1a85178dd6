// Configuration of a router process. This is the only module that reads the configuration file and the
// environment, checks them and fills in defaults. All functions that read throw BadInput, which names the key
// at fault. Reading a file blocks.
#pragma once

#include "base/address.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "membership/access.hpp"
#include "settings/read.hpp"
#include "terms/deployment_config.hpp"

#include <functional>
#include <string>

namespace pineridge::router {

// Names from the configuration. The decision module refers to each of them by its index.
struct Names {
    std::vector<std::string> methods, tenants, zones, kinds, report_fields;
    std::vector<bool> idempotent{}; // by method
};

struct RouterConfig {
    std::string name;
    Address listen, discovery, platform;
    std::uint64_t seed;
    Limits limits;
    DeploymentConfig deployment;
    Names names;
    json initial_rollout; // the latest rollout status, in the platform's format; null: none
    json cached_host_list; // the latest host list, in discovery's format; null: none
    // Discovery is an agent on this machine to which changes are pushed. What it holds counts as received.
    bool has_local_discovery_agent = false;
    std::optional<RegistrySettings> registry{}; // provides the host list instead of discovery
    std::shared_ptr<membership::RegistryAccess> registry_access{}; // the registry's endpoints and credentials
    std::shared_ptr<const AdmissionSettings>
        admission{}; // none: connections are limited only by the descriptors
    // Reads the settings file again; throws as the first read does. May be called on any thread.
    std::function<Settings()> reload_settings{};
    // A second deployment configuration, whose decisions are counted and not carried out.
    std::optional<DeploymentConfig> rehearsed_deployment{};
    std::optional<ReleaseSettings>
        release{}; // staged releases by cell; none: the platform's stages hold for all cells
};

// Returns the value of an environment variable, or a null pointer.
using Environment = std::function<const char *(const char *)>;

// Keys that the file leaves out are taken from the environment.
RouterConfig read_config(const json &from, const Environment &environment);
RouterConfig read_config_file(const std::string &path, const Environment &environment);

// Adds the operator's settings to the configuration from the platform; throws BadInput if the two are not
// compatible.
void apply_settings(RouterConfig &config, const Settings &settings);
void check_compatible(const RouterConfig &config, const ReleaseSettings &release_settings);
void check_compatible(const RouterConfig &config, const AdmissionSettings &admission_settings);

// Reads the deployment configuration from the settings of another deployment. Throws BadInput if they are
// invalid, or if their methods, tenants, zones, kinds or report fields are not the configured ones in the
// same order: the decision module refers to them by index.
DeploymentConfig read_rehearsed_deployment(const RouterConfig &config, const std::string &path);

// Returns the index of a name among the configured names; throws BadInput for the field if it is not there.
int index_of(const std::vector<std::string> &names, const std::string &name, const char *field);

} // namespace pineridge::router
