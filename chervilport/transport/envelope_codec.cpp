#include "chervilport/transport/envelope_codec.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/transport/detail/wire_codec.h"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace chervilport {

std::string encodeEnvelope(const envelope& value)
{
    capnp::MallocMessageBuilder builder;
    writeEnvelope(builder.initRoot<wire::Envelope>(), value);
    kj::VectorOutputStream output;
    capnp::writePackedMessage(output, builder);
    auto bytes = output.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

envelope decodeEnvelope(std::string_view bytes)
{
    try {
        kj::ArrayInputStream input({ reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() });
        capnp::PackedMessageReader reader(input);
        return readEnvelope(reader.getRoot<wire::Envelope>());
    } catch (const kj::Exception& error) {
        throw chervilport_error(
            error_kind::InvalidRequest, std::string("malformed message from a peer: ") + error.getDescription().cStr());
    }
}

} // namespace chervilport
