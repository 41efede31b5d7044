#pragma once

#include <Net/HttpMessage.h>

#include <boost/beast/http.hpp>
#include <string>
#include <utility>

namespace Radishplank {

/// Parses a message whose header fields may have any length within the limit of the head.
///
/// Beast's own container throws for a field of more than 65,533 bytes, on the stack of the event
/// loop, which would end the process.
template<bool isRequest>
class HeadParser : public boost::beast::http::parser<isRequest, boost::beast::http::buffer_body>
{
public:
    /// Returns the fields of the head and forgets them; trailers are ignored.
    HttpHeaders takeHeaders() { return std::exchange(m_headers, {}); }

private:
    void on_field_impl(boost::beast::http::field, boost::beast::string_view name,
                       boost::beast::string_view value, boost::beast::error_code &) override
    {
        if (!this->is_header_done())
            m_headers.add(std::string(name), std::string(value));
    }

    HttpHeaders m_headers;
};

} // namespace Radishplank
