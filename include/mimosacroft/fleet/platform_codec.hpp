// Reads the JSON of the platform's object API.
#ifndef MIMOSACROFT_FLEET_PLATFORM_CODEC_HPP
#define MIMOSACROFT_FLEET_PLATFORM_CODEC_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <string>

namespace mimosacroft::fleet
{

/// Reads the reply of a watch: the objects that changed and the version up to
/// which the reply is complete, both ordered over the store's eras (see
/// model/store_era.hpp). The fields "era" and "since" state the era.
base::result<wire::config_push> parse_changes(const std::string& json);

/// Reads the reply of the list of VMs. When the platform says that the version
/// asked for is still the newest, `base` is that version and there are no
/// entries.
base::result<wire::view_push> parse_vms(const std::string& json);

} // namespace mimosacroft::fleet

#endif
