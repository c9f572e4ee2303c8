export { callAdministration } from './administrationClient.js'
