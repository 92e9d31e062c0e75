#ifndef DOTTERELPORT_AGENT_BACKEND_REQUEST_HPP
#define DOTTERELPORT_AGENT_BACKEND_REQUEST_HPP

#include "dotterelport/net/http_client.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::agent {

/// @brief Key that is sent to backend servers: "<workspace>/<key>", since keys are unique only
/// within their workspace.
std::string backend_key(const request_key& key);

/// @brief Builds the request to the backend server for an admission.
/// @throws format_error if the payload does not have the required form or cannot be sent as HTTP
net::client_request make_backend_request(const request::admission& message,
                                         const net::endpoint& backend_server);

} // namespace dotterelport::agent

#endif
