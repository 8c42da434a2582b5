#ifndef POLLENSTREAM_EXCHANGE_SUSPECT_HPP
#define POLLENSTREAM_EXCHANGE_SUSPECT_HPP

#include <pollenstream/core/ids.hpp>
#include <pollenstream/exchange/request_content.hpp>

#include <string>
#include <vector>

namespace pollenstream::exchange
{

/// Identifies what may crash the targets that run a request: its content, or
/// one of the parts that its prompt shares with others. Never negative; zero
/// means none.
using suspect_id = core::strong_number<struct suspect_id_tag>;

/// In ascending order, each once.
using suspect_list = std::vector<suspect_id>;

auto suspect_of( content_id content ) -> suspect_id;
auto suspect_of( prompt_part_id part ) -> suspect_id;
/// All suspects of one request.
auto suspects_of( content_id content,
                  std::vector<prompt_part_id> const& shared_parts )
    -> suspect_list;

/// True for a part of a prompt, false for a content.
auto is_prompt_part( suspect_id id ) -> bool;
/// The suspects among `all` that are parts of prompts.
auto prompt_parts_of( suspect_list const& all ) -> suspect_list;

/// True if `all` contains each of `some`.
auto contains_all( suspect_list const& all, suspect_list const& some ) -> bool;

/// A content as other log lines name it, or a part after `part-`.
auto to_string( suspect_id id ) -> std::string;
/// Comma-separated names of all suspects.
auto to_string( suspect_list const& all ) -> std::string;

}

#endif
