#include <pollenstream/adapters/asio/answer_defect.hpp>

namespace pollenstream::adapters::asio
{

auto name_of( answer_defect defect ) -> char const*
{
    switch ( defect )
    {
    case answer_defect::missing:
        return "missing";
    case answer_defect::cut:
        return "cut";
    case answer_defect::lost:
        return "lost";
    case answer_defect::unreadable:
        return "unreadable";
    case answer_defect::invalid_status:
        return "invalid_status";
    case answer_defect::transfer_coding:
        return "transfer_coding";
    case answer_defect::too_large:
        return "too_large";
    case answer_defect::stray:
        return "stray";
    case answer_defect::number_of_defects:
        break;
    }
    return "unknown";
}

}
