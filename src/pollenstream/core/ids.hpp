#ifndef POLLENSTREAM_CORE_IDS_HPP
#define POLLENSTREAM_CORE_IDS_HPP

#include <pollenstream/core/strong.hpp>

namespace pollenstream::core
{

/// Identifies one pollenstream instance across all of its restarts.
using instance_id = strong_id<struct instance_id_tag>;
/// Identifies one target: a model engine or a plain service process.
using target_id = strong_id<struct target_id_tag>;
/// Identifies a data centre.
using data_centre_id = strong_id<struct data_centre_id_tag>;
/// Identifies a workspace, whose requests are counted together against its
/// limits and shares.
using workspace_id = strong_id<struct workspace_id_tag>;
/// Identifies a profile that an operator has configured.
using profile_id = strong_id<struct profile_id_tag>;
/// Identifies a group of targets that serve the same model or plain service.
using service_id = strong_id<struct service_id_tag>;
/// Identifies a model version or adapter that an engine has loaded.
using model_id = strong_id<struct model_id_tag>;
/// Identifies a caller's request within one incarnation of one instance.
using request_id = strong_id<struct request_id_tag>;
/// Identifies memory that an engine reserves for its span of a prompt that is
/// split over several engines.
using reservation_id = strong_id<struct reservation_id_tag>;
/// Identifies a non-idempotent call; chosen by the caller.
using idempotency_key = strong_id<struct idempotency_key_tag>;

/// Distinguishes the restarts of one instance; a later start has a higher
/// number.
using incarnation = strong_number<struct incarnation_tag>;
/// Distinguishes the restarts of a target that keeps its id: the Unix time in
/// ms at which it started, by its own clock; 0 if the target does not report
/// it.
using target_lifetime = strong_number<struct target_lifetime_tag>;
/// Counts the attempts of one request, from 1.
using attempt_number = strong_number<struct attempt_number_tag>;
/// Version of the operators' configuration; it never decreases.
using revision = strong_number<struct revision_tag>;
/// Secret of one process of an instance, which only other instances are told:
/// it proves that a request handed over to it comes from one of them. 0: none.
using handover_key = strong_number<struct handover_key_tag>;
/// Increases with each new holder of a lease; a lower number belongs to a
/// former holder.
using fencing_number = strong_number<struct fencing_number_tag>;

}

#endif
