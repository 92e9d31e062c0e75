#include "dotterelport/net/rpc.hpp"

#include <map>
#include <utility>

#include <json/json.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace dotterelport::net {
namespace {

/// JSON-RPC error code for errors that a method reports.
constexpr int method_error_code = -32000;

json to_json(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return json::parse(Json::writeString(builder, value));
}

Json::Value to_jsoncpp(const json& value)
{
    const std::string text = value.dump();
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value result;
    reader->parse(text.data(), text.data() + text.size(), &result, nullptr);
    return result;
}

/// Passes requests from the HTTP server to libjsonrpccpp and returns its answers.
class connector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* context) override
    {
        *static_cast<std::string*>(context) = response;
        return true;
    }

    std::string handle(const std::string& request)
    {
        std::string response;
        OnRequest(request, &response);
        return response;
    }
};

} // namespace

struct rpc_server::impl : jsonrpc::IProcedureInvokationHandler {
    std::map<std::string, method> methods;
    std::map<std::string, deferred_method> deferred;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol{
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this)};
    connector http_connector;

    impl() { http_connector.SetHandler(protocol.get()); }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override
    {
        try {
            output = to_jsoncpp(methods.at(procedure.GetProcedureName())(to_json(input)));
        } catch (const std::exception& failure) {
            throw jsonrpc::JsonRpcException(method_error_code, failure.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& input) override
    {
        methods.at(procedure.GetProcedureName())(to_json(input));
    }

    /// @return false if the request is not for a deferred method
    bool handle_deferred(const std::string& body, const std::shared_ptr<http_response>& response)
    {
        const json request = json::parse(body, nullptr, false);
        if (!request.is_object() || !request.contains("method") || !request["method"].is_string()) {
            return false;
        }
        const auto found = deferred.find(request["method"].get<std::string>());
        if (found == deferred.end()) {
            return false;
        }
        json envelope = {{"jsonrpc", "2.0"}, {"id", request.value("id", json(1))}};
        try {
            found->second(request.value("params", json::object()),
                          [envelope, response](const json& result) mutable {
                              envelope["result"] = result;
                              send_json(*response, 200, envelope.dump());
                          });
        } catch (const std::exception& failure) {
            envelope["error"] = {{"code", method_error_code}, {"message", failure.what()}};
            send_json(*response, 200, envelope.dump());
        }
        return true;
    }
};

rpc_server::rpc_server(http_server& server) : impl_(std::make_unique<impl>())
{
    server.route("POST", rpc_path,
                 [state = impl_.get()](const http_request& request,
                                       const std::shared_ptr<http_response>& response) {
                     if (!state->handle_deferred(request.body, response)) {
                         send_json(*response, 200, state->http_connector.handle(request.body));
                     }
                 });
}

rpc_server::~rpc_server() = default;

void rpc_server::add(const std::string& name, method function)
{
    impl_->methods[name] = std::move(function);
    impl_->protocol->AddProcedure(jsonrpc::Procedure(
        name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, static_cast<const char*>(nullptr)));
}

void rpc_server::add_deferred(const std::string& name, deferred_method function)
{
    impl_->deferred[name] = std::move(function);
}

} // namespace dotterelport::net
