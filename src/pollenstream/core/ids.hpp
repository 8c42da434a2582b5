#ifndef POLLENSTREAM_CORE_IDS_HPP
#define POLLENSTREAM_CORE_IDS_HPP

#include <pollenstream/core/strong.hpp>

namespace pollenstream::core
{

/// Names one pollenstream daemon over all of its restarts.
using instance_id = strong_id<struct instance_id_tag>;
/// Names one back end: a model engine or a plain service process.
using target_id = strong_id<struct target_id_tag>;
/// Names a data centre.
using data_centre_id = strong_id<struct data_centre_id_tag>;
/// Names a customer whose limits and shares are counted together.
using workspace_id = strong_id<struct workspace_id_tag>;
/// Names an operator's profile.
using profile_id = strong_id<struct profile_id_tag>;
/// Names a group of targets that serve the same model or plain service.
using service_id = strong_id<struct service_id_tag>;
/// Names a model version or adapter that an engine has loaded.
using model_id = strong_id<struct model_id_tag>;
/// Names one caller request inside one incarnation of one instance.
using request_id = strong_id<struct request_id_tag>;
/// Names memory that an engine holds for a prompt spread over several engines.
using reservation_id = strong_id<struct reservation_id_tag>;
/// Chosen by the caller; one non-idempotent call has one key.
using idempotency_key = strong_id<struct idempotency_key_tag>;

/// Tells restarts of one instance apart; a later start has a higher number.
using incarnation = strong_number<struct incarnation_tag>;
/// Tells the starts of one target under the same id apart: the Unix time in ms
/// at which it started, by its own clock; 0 where the target does not tell it.
using target_lifetime = strong_number<struct target_lifetime_tag>;
/// Counts the attempts of one request, from 1.
using attempt_number = strong_number<struct attempt_number_tag>;
/// Version of the operators' configuration; it only rises.
using revision = strong_number<struct revision_tag>;
/// Rises with each new holder of a lease; a lower number is a former holder.
using fencing_number = strong_number<struct fencing_number_tag>;

}

#endif
